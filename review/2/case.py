"""A task is launched after its job was reported as cancelled: see claim.txt."""
import os, shutil, sys, tempfile
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from standins import *

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUNDS = 10


async def round_of(w, machine, number):
    """One round: two one-task jobs for the same machine, the second is cancelled at once."""
    first, second = job(2 * number, expected_s=2.0), job(2 * number + 1, expected_s=20.0)
    # Begins right after a regular report, so that the next one is 0.75 to 1.25 s away.
    while True:
        before = w.now()
        await machine.answered.wait()
        if w.now() - before > 0.7 and len(machine.tasks) == 1 and not machine.changed.is_set():
            break
    if TROUBLE:
        # The next direct command, which launches the first job, is held up for 3 s.
        machine.hold_for = 3.0
        machine.hold_command = lambda orders: any(o["piece"].startswith(first["ref"]) and o["verb"] == "launch" for o in orders)
        # The cancellation is carried out at once, and only its answer is lost.
        w.state.lost_for = lambda node, writes: any(
            x.get("set") in ("j/" + second["ref"], "f/" + second["ref"]) and second.get("_cancelled") for x in writes)
    leader = w.leader()
    other = next(i for i in range(3) if i != leader)
    await w.submit(first, leader)
    await asyncio.sleep(0.05)  # the leader places the first job and sends the command
    await w.submit(second, leader)
    await asyncio.sleep(0.05)  # the leader places the second job on the same machine
    cancelled = w.spawn(w.abort(second["ref"], leader))
    end = w.now() + 6
    while second["ref"] not in w.told and w.now() < end:
        w.spawn(w.poll(second["ref"], other))
        await asyncio.sleep(0.1)
    await cancelled
    w.state.lost_for = machine.hold_command = None
    # Until nothing of both jobs is left, so that the next round begins like this one.
    await w.until(lambda: not any(n.startswith((first["ref"], second["ref"])) for n, _ in machine.tasks)
                  and w.told.get(first["ref"]), 0.1)
    for _ in range(40):
        if (await w.poll(first["ref"], other))[1].get("stage") == "done":
            break
        await asyncio.sleep(0.25)


async def main(tmp):
    w = World(almaty(), STEPPE, FOLDER, log_level="info", capacity=1, boot=(0.5, 0.6), lag=1.0)

    launches = {}

    def launched(worker, piece, report_sent):
        # Only an answer to a report that was sent after the user was told counts: such a
        # launch was certainly not in flight when the user was told.
        told = w.cancel_told.get(piece.rpartition("/")[0])
        if told is not None and report_sent is not None and report_sent > told:
            launches[piece] = {"told_at": round(told, 3), "report_sent_at": round(report_sent, 3)}

    def started(worker, piece):
        if piece in launches:
            w.breaks("ran_cancelled", piece=piece, started_at=round(w.now(), 3), **launches[piece])

    w.on_launch, w.on_start = launched, started
    number = 0
    try:
        await w.start(tmp)
        if not await w.until(lambda: w.leader() is not None, 15):
            return 2
        await w.submit(job(1, run_shape="standing", urgency="prod", expected_s=0.0))
        if not await w.until(lambda: any(m.up and m.tasks for m in w.workers.values()), 30):
            return 2
        machine = next(m for m in w.workers.values() if m.up)
        await asyncio.sleep(3)
        for number in range(1, ROUNDS + 1):
            if w.now() > 95 or machine.gone or len(w.broken) >= 3:
                break
            await round_of(w, machine, number)
        w.check_alive()
        if number < 3 or any(b[0] == "process_ended" for b in w.broken):
            return 2
        return 1 if w.broken else 0
    finally:
        w.note("case", "end", rounds=number, broken=[b[0] for b in w.broken])
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
