"""A task of a cancelled job goes on saving for longer than cancel_s: see claim.txt."""
import os, shutil, sys, tempfile
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from standins import *

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SAVING_S = 55.0  # snapshot_cost_s of the job; cancel_s is 40 s


async def main(tmp):
    w = World(lahore(), RAVI, FOLDER, log_level="info", capacity=1, boot=(0.5, 0.6), lag=2.0)
    try:
        await w.start(tmp)
        if not await w.until(lambda: w.leader() is not None, 15):
            return 2
        sweep = job(1, job_family="chair-sweep", owner_crew="production-floor-00", urgency="normal", cores=60.0,
                    memory_gb=100.0, expected_s=600.0, snapshot_every_s=20.0, snapshot_cost_s=SAVING_S)
        await w.submit(sweep)
        if not await w.until(lambda: w.on.get("j-000001/0"), 15):
            return 2
        await asyncio.sleep(3)
        if TROUBLE:
            # A job of higher priority needs the machine: the task is stopped, and saves.
            await w.submit(job(2, job_family="order-intake", owner_crew="production-floor-01", run_shape="standing",
                               urgency="prod", cores=10.0, memory_gb=2.2, bundle="intake", expected_s=0.0))
            machine = next(m for m in w.workers.values() if m.up)
            if not await w.until(lambda: any(t.stage == "saving" for t in machine.tasks.values()), 15):
                return 2
            w.note("case", "the task saves")
            await asyncio.sleep(1)
        status, answer = await w.abort("j-000001")
        if status != 200 or "j-000001" not in w.cancel_told:
            return 2
        told = w.cancel_told["j-000001"]
        while w.now() < told + w.cluster["workers"]["cancel_s"] + 1:
            await w.poll("j-000001")
            await asyncio.sleep(2)
        broken = [b for b in w.broken if b[0] == "ran_cancelled"]
        w.check_alive()
        return 1 if broken else 0
    finally:
        w.note("case", "end", broken=[b[0] for b in w.broken])
        w.stop()


if __name__ == "__main__":
    tmp = tempfile.mkdtemp(prefix="pathwinch-review-")
    try:
        code = asyncio.run(asyncio.wait_for(main(tmp), 110))
    except Exception as e:
        print("the case could not run:", repr(e))
        code = 2
    finally:
        if os.environ.get("KEEP"):
            print("logs in", tmp)
        else:
            shutil.rmtree(tmp, ignore_errors=True)
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.exit(code)
