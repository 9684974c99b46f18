"""The owner of the jobs is killed while the store is slow and loses answers.
Another instance's claim takes effect, but its answers are lost; a third one
claims the cell from it, and only then does the first claimant learn that its
own claim had taken effect. Afterwards every accepted job has to go on."""
import sys
import os
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-3"))
from stand import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TRIES = 3  # kills of the owner, each with its own trouble of the store
DOWN_S = 3.5  # node_kill leader: for_s 3.5
SLOW_X, SLOW_S = 60.0, 5.5  # platform_slow: x 60, for_s 5.5
LOST_X, LOST_S = 0.35, 4.5  # platform_lost: x 0.35, for_s 4.5
BEGIN_S = 1.0  # from the kill to the store's trouble
FINISH_S = 14.0  # bound finish_s
STUCK_S = 3.0
JOBS_S = 2.0
TASKS, WORK_MS = 4, 900

OWNER_ROW = ("owner", "c0", "owner")


def where(entry):
    return entry["table"], entry["part"], entry["key"]


class UnluckyStore(Store):
    """Under platform_slow each answer takes up to SLOW_X times as long, and
    under platform_lost some answers of writes are lost. Which ones, and how
    long each takes within that limit, is this store's luck."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.writer = ""  # machine that wrote the owner row last
        self.claimant = ""  # its claim took effect, the answer was lost
        self.lost_until = 0.0
        self.writes = self.lost = 0
        self.raced = False
        self.claim_waits = asyncio.Event()  # another machine's claim is there

    async def handle(self, machine, method, target, body):
        if not target.startswith("/jasminespar/rows-tx"):
            return await super().handle(machine, method, target, body)
        call = json.loads(body)
        lossy = now() < self.lost_until
        self.writes += lossy
        condition = [e["ver"] for e in call.get("expected_rev", []) if where(e) == OWNER_ROW]
        written = [e["value"] for e in call.get("upserts", []) if where(e) == OWNER_ROW]
        if not written:
            return await self.transact(call)
        # Another instance may relay the call; the row names its owner.
        machine = next((m for m in self.ports if m.encode() in base64.b64decode(written[0])), machine)
        if not lossy or self.raced:
            return await self.write_owner(machine, call)
        if machine == self.claimant:
            return await self.answer_claimant(machine)
        after_claimant = bool(self.claimant)
        if after_claimant and condition == [self.rows[OWNER_ROW][1]]:
            self.claim_waits.set()
        # Its transaction is carried out once those before it are.
        answer = await self.write_owner(machine, call, 1.0 if after_claimant else None)
        if answer[0] == 200 and not self.raced:
            self.claimant = machine
            return self.lose(machine, "its claim took effect")
        return answer

    def feed_x(self):
        return 1.0 if self.raced else self.slow

    async def answer_claimant(self, machine):
        """The claimant asks again: the row is its own by now."""
        self.claim_waits.clear()
        async with self.parts.setdefault("c0", asyncio.Lock()):
            # The transaction takes up to tx_ms times SLOW_X.
            self.raced = await self.other_claims(self.TX_S * SLOW_X)
            answer = 412, dict(self.head(), rows=[self.row(OWNER_ROW)])
        # The answer takes up to SLOW_X times as long.
        if self.raced:
            await asyncio.sleep(self.ANSWER_S * SLOW_X)
        elif await self.other_claims(self.ANSWER_S * SLOW_X - 0.06):
            self.raced = True
            await asyncio.sleep(0.06)
        if not self.raced:
            return self.lose(machine, "the row was its own")
        self.record.say("store answers", machine, "412: when it was asked, the row was its own")
        return answer

    async def other_claims(self, within):
        """@return whether another instance's claim came within that time."""
        try:
            await asyncio.wait_for(self.claim_waits.wait(), within)
            return True
        except asyncio.TimeoutError:
            return False

    async def write_owner(self, machine, call, tx_x=None):
        answer = await self.transact(call, tx_x, tx_x)
        if answer[0] == 200 and machine != self.writer:
            row = base64.b64decode(self.rows[OWNER_ROW][0])
            epoch = int.from_bytes(row.partition(machine.encode())[2][:8], "little")
            self.record.say("store: the owner row is written by", machine, "before by", self.writer or "nobody",
                            "version", answer[1]["ver"], "epoch", epoch)
            self.writer = machine
        return answer

    def lose(self, machine, why):
        self.lost += 1
        self.record.say("store: the answer to", machine, "is lost;", why)
        return None


async def main():
    folder = os.path.dirname(os.path.abspath(__file__))
    site = Site(folder, runners=6)
    record = site.record
    accepted = []
    try:
        if not await site.start(UnluckyStore(record)):
            print("the instances did not become ready")
            return 2
        store = site.store
        by_name = {i.name: i for i in site.instances}

        async def submit():
            job = job_id(site.rng)
            body = {"spec": str(WORK_MS), "steps": [{"count": TASKS, "cpu": 2000, "mem_mb": 1024,
                                                     "estimate_ms": WORK_MS}]}
            for _ in range(5):
                at = site.instances[site.rng.randrange(len(site.instances))]
                status, _ = await call(at.callers, "POST", "/q1/" + job, body)
                record.say("client sends", job, "to", at.name, "answer", status)
                if status // 100 == 2:
                    accepted.append("/q1/" + job)
                if status not in (0, 429, 502, 503, 504):
                    return
                await asyncio.sleep(0.3)

        async def trouble():
            await asyncio.sleep(4.0)
            for _ in range(TRIES):
                if not TROUBLE or store.raced:
                    await asyncio.sleep(5.0)
                    continue
                owner = by_name[store.writer]
                record.say("the owner", owner.name, "is killed")
                owner.signal(signal.SIGKILL)
                await owner.process.wait()
                await asyncio.sleep(BEGIN_S)
                store.claimant, store.writes, store.lost = "", 0, 0
                store.slow, store.lost_until = SLOW_X, now() + LOST_S
                record.say("the store is slow and loses answers")
                await asyncio.sleep(DOWN_S - BEGIN_S)
                await owner.start()
                await asyncio.sleep(SLOW_S - (DOWN_S - BEGIN_S))
                store.slow = 1.0
                record.say("the store is sound again; answers lost:", store.lost, "of", store.writes, "writes")
                await asyncio.sleep(5.0)

        await asyncio.sleep(2.0)
        running = asyncio.create_task(trouble())
        calls = []
        while not running.done():
            calls.append(asyncio.create_task(submit()))
            await asyncio.sleep(1 / JOBS_S)
        await asyncio.gather(*calls)
        running.result()
        record.say("end of the traffic,", len(accepted), "jobs accepted")
        await asyncio.sleep(FINISH_S)
        return await stuck_jobs(site, accepted, TASKS, STUCK_S)
    finally:
        await site.stop()


run_case(main)
