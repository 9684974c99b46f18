"""An urgent gang waits for the room of work that is stopped for it, while the
store is down for three seconds and a runner of the gang's plan is taken away.
Afterwards every accepted job has to go on."""
import sys
import os
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-3"))
from stand import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUNNERS = 14  # one of them is 0.07 of all; scale_in: share 0.0735
ROUNDS = 5
FINISH_S = 14.0  # bound finish_s
STUCK_S = 3.0
NOTICE_S = 2.0  # scale_in spot: x 2

OWNER_ROW = ("owner", "c0", "owner")


async def main():
    folder = os.path.dirname(os.path.abspath(__file__))
    site = Site(folder, runners=RUNNERS, guaranteed=16)
    record = site.record
    accepted = []
    try:
        if not await site.start():
            print("the instances did not become ready")
            return 2
        store = site.store

        async def submit(queue, work_ms, step):
            job = job_id(site.rng)
            body = {"spec": str(work_ms), "steps": [step]}
            for _ in range(5):
                at = site.instances[site.rng.randrange(len(site.instances))]
                status, _ = await call(at.callers, "POST", "/q%d/%s" % (queue, job), body)
                record.say("client sends", job, "to queue", queue, "at", at.name, "answer", status)
                if status // 100 == 2:
                    accepted.append("/q%d/%s" % (queue, job))
                if status not in (0, 429, 502, 503, 504):
                    return job
                await asyncio.sleep(0.3)

        # Work that fills all runners but one.
        filling = await submit(1, 110000, {"count": RUNNERS - 1, "cpu": 8000, "mem_mb": 1024, "gpu": 8,
                                 "estimate_ms": 1000})
        await asyncio.sleep(9.0)
        replaced = []
        for _ in range(ROUNDS):
            idle = await idle_runner(site)
            if idle is None:
                record.say("no runner is idle")
                break
            begin = idle.beat_at
            record.say("runner", idle.name, "is idle")
            await sleep_until(begin + 0.55)
            await submit(0, 1000, {"count": 2, "cpu": 8000, "mem_mb": 1024, "gpu": 8, "gang": True,
                                   "estimate_ms": 1000})
            for runner in site.runners:
                runner.stop_s = 0.88  # stop_ms 900
            await sleep_until(begin + 1.2)
            version = store.rows[OWNER_ROW][1]
            while store.rows[OWNER_ROW][1] == version:
                await asyncio.sleep(0.002)
            await asyncio.sleep(0.02)
            down = now()
            if TROUBLE:
                store.set_down(True)
                record.say("the store is down")
            await asyncio.sleep(1.4)
            if TROUBLE:
                replaced.append(asyncio.create_task(idle.take_away(NOTICE_S)))
            await sleep_until(begin + 4.55)
            if TROUBLE:
                store.part_down = "c0"
                store.set_down(False)
                await asyncio.sleep(0.15)
                store.part_down = ""
                record.say("the store is back wholly after %.2f s" % (now() - down))
            await asyncio.sleep(4.5)
            if TROUBLE:
                site.runners.remove(idle)
                await site.add_runner()
            await asyncio.sleep(1.0)
        for _ in range(4):
            await submit(1, 500, {"count": 2, "cpu": 2000, "mem_mb": 1024, "estimate_ms": 500})
        status, _ = await call(site.instances[0].callers, "DELETE", "/q1/" + filling)
        record.say("client cancels", filling, "answer", status)
        record.say("end of the traffic,", len(accepted), "jobs accepted")
        accepted.remove("/q1/" + filling)
        await asyncio.sleep(FINISH_S)
        return await stuck_jobs(site, accepted, 2, STUCK_S, per_runner=1)
    finally:
        await site.stop()


async def sleep_until(at):
    await asyncio.sleep(max(0.0, at - now()))


async def idle_runner(site):
    """@return a runner without runs, just after a heartbeat of it, at a moment
    at which the next looks at it are expected 3.2 to 4.3 s later; or None."""
    end = now() + 12.0
    while now() < end:
        await asyncio.sleep(0.005)
        for runner in site.runners:
            runner.beat_s = 1.65
            fresh = now() - runner.beat_at < 0.02
            if runner.runs or not fresh or runner.leaves_at is not None:
                continue
            looks = [runner.look_at + 2.0 * k - runner.beat_at for k in range(1, 5)]
            if any(3.2 < at < 4.3 for at in looks):
                return runner
    return None


run_case(main)
