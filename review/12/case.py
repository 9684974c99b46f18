"""The owner of the jobs is stopped as planned while the store is slow and one
answer is lost. A job is accepted while the owner is handed over."""
import sys
import os
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-3"))
from stand import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUNDS = 4
SLOW_X, SLOW_S = 60.0, 4.5  # platform_slow: x 60, for_s 5.5
JOBS = 4  # at once
TASKS, WORK_MS = 2, 3000

OWNER_ROW = ("owner", "c0", "owner")


def where(entry):
    return entry["table"], entry["part"], entry["key"]


class UnluckyStore(Store):
    """Under platform_slow each answer takes up to SLOW_X times as long; one
    answer of a write is lost. Which, is this store's luck."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.owner = ""  # that the owner row names or named last
        self.stopped = ""  # the owner that is being stopped
        self.released = self.jobs_read = None
        self.renewed = asyncio.Event()
        self.writes = self.lost = 0  # while the store is slow

    async def handle(self, machine, method, target, body):
        path, _, query = target.partition("?")
        args = {k: v[0] for k, v in urllib.parse.parse_qs(query, keep_blank_values=True).items()}
        if path == "/jasminespar/rows-tx":
            return await self.write(json.loads(body))
        if self.released is None:
            return await super().handle(machine, method, target, body)
        # The store is slow.
        if path == "/jasminespar/rows-get" and args["table"] == "jobs" and machine != self.stopped:
            answer = 200, self.get(args)
            self.jobs_read.set()
            await asyncio.sleep(self.ANSWER_S * SLOW_X)
            return answer
        answer = await super().handle(machine, method, target, body)
        late = (args.get("table") == "jobs") != (machine == self.stopped)
        if path == "/jasminespar/rows-feed" and late and args["table"] in ("jobs", "owner"):
            if machine == self.stopped or args["table"] == "jobs":
                await asyncio.sleep(self.ANSWER_S * (SLOW_X - 1))
        return answer

    async def write(self, call):
        values = [base64.b64decode(e["value"]) for e in call.get("upserts", []) if where(e) == OWNER_ROW]
        self.writes += bool(self.stopped)
        answer = await self.transact(call)
        if not values or answer[0] != 200:
            return answer
        name = next((m for m in self.ports if m.encode() in values[0]), "")
        if name and name != self.owner:
            self.record.say("store: the owner row names", name)
            self.owner = name
        if name:
            old, self.renewed = self.renewed, asyncio.Event()
            old.set()
        elif self.stopped and self.released is None:
            self.released = now()
            self.jobs_read = asyncio.Event()
            self.lost += 1
            self.record.say("store:", self.stopped, "releases the owner row; the answer is lost")
            return None
        return answer


async def main():
    folder = os.path.dirname(os.path.abspath(__file__))
    site = Site(folder, runners=8)
    record = site.record
    try:
        if not await site.start(UnluckyStore(record), first=1):
            print("the instances did not become ready")
            return 2
        store = site.store
        by_name = {i.name: i for i in site.instances}
        for runner in site.runners:
            runner.stop_s = 0.88  # stop_ms 900

        async def submit():
            job = job_id(site.rng)
            body = {"spec": str(WORK_MS), "steps": [{"count": TASKS, "cpu": 2000, "mem_mb": 1024,
                                                     "estimate_ms": WORK_MS}]}
            for _ in range(5):
                at = [i for i in site.instances if i.name != store.stopped][site.rng.randrange(5)]
                status, _ = await call(at.callers, "POST", "/q1/" + job, body)
                record.say("client sends", job, "to", at.name, "answer", status)
                if status not in (0, 429, 502, 503, 504):
                    return
                await asyncio.sleep(0.3)

        for _ in range(ROUNDS):
            await asyncio.sleep(2.0)
            await store.renewed.wait()
            owner = by_name[store.owner]
            if TROUBLE:
                await asyncio.sleep(0.01)
                store.stopped, store.writes, store.lost = owner.name, 0, 0
                record.say("the owner", owner.name, "gets SIGTERM; the store is slow")
                owner.signal(signal.SIGTERM)
                end = now() + SLOW_S
                while store.released is None and now() < end:
                    await asyncio.sleep(0.001)
                if store.released is not None:
                    try:
                        await asyncio.wait_for(store.jobs_read.wait(), end - now())
                    except asyncio.TimeoutError:
                        record.say("no successor yet")
                    else:
                        record.say("the successor reads the jobs %.3f s after the release"
                                   % (now() - store.released))
            await asyncio.sleep(0.005)
            await asyncio.gather(*(submit() for _ in range(JOBS)))
            if TROUBLE:
                await asyncio.sleep(max(0.0, end - now()))
                store.released = store.jobs_read = None
                record.say("the store is sound again; answers lost:", store.lost, "of", store.writes, "writes")
                await owner.process.wait()
                store.stopped = ""
                await owner.start()
            await asyncio.sleep(6.0)
        await asyncio.sleep(3.0)
        return runs_at_once(site)
    finally:
        await site.stop()


run_case(main)
