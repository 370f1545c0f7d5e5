"""The leader is killed while it deletes the records of finished jobs."""
import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import rig as rigs

# TROUBLE=0 runs the case without its disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The hosts keep the records of a finished job for status_s and 30 s more.
STATUS_S = int(os.environ.get("STATUS_S", "60"))
RETENTION_S = STATUS_S + 30
# 60 times the usual 4 ms.
SLOW_ANSWER_S = 0.24
SLOW_S = 4.5
JOBS = 96
# kgd-yard-large in a burst of its most frequent kind of request.
JOBS_PER_S = 39.0


async def case(rig):
    await rig.start(hosts=3, workers=16, task_seconds=lambda task: 0.5)
    if not await rig.until_ready():
        return None
    jobs = [f"{number + 1:016x}" for number in range(JOBS)]
    calls = []
    for i, job in enumerate(jobs):
        calls.append(asyncio.ensure_future(
            rig.hosts[i % 3].call("POST", rig.prefix + job, rig.job())))
        await asyncio.sleep(1 / JOBS_PER_S)
    answers = await asyncio.gather(*calls)
    if any(status != 200 for status, _ in answers):
        return None
    await asyncio.sleep(3.0)
    done = {e[2]: e[0] for e in rig.ends() if e[4] == "done"}
    if len(done) < JOBS:
        return None
    for job in jobs:
        status, body = await rig.hosts[0].call("GET", rig.prefix + job)
        if body.get("state") != "done":
            return None
    before = len(rig.starts())
    first = min(done.values())
    await asyncio.sleep(first + RETENTION_S - 1.0 - rig.record.now())
    leader = rig.leader()
    if TROUBLE:
        rig.record.write("store: answers take 0.24 s")
        rig.store.delay = SLOW_ANSWER_S
    await asyncio.sleep(2.2)
    if TROUBLE:
        leader.send(signal.SIGKILL)
        leader.process.wait()
    await asyncio.sleep(1.0)
    if TROUBLE:
        leader.start()
    await asyncio.sleep(SLOW_S - 3.2)
    rig.store.delay = 0.004
    rig.record.write("store: answers take 4 ms")
    await asyncio.sleep(10.0)
    return [
        f"TWICE: run {run} of {task} starts on {worker} at {at:.3f}, its end "
        f"as done was listed at {done[task]:.3f} and the job shown as done"
        for at, worker, task, run in rig.starts()[before:]
        if task in done and at > done[task]]


rigs.run_case(FOLDER, case, {"status_s": STATUS_S}, limit=RETENTION_S + 28.0)
