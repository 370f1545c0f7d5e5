"""A store outage while the records of finished jobs are due for deletion."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import rig as rigs

# TROUBLE=0 runs the case without its disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The hosts keep the records of a finished job for status_s and 30 s more.
STATUS_S = int(os.environ.get("STATUS_S", "60"))
RETENTION_S = STATUS_S + 30
OUTAGE_S = 4.5
JOBS = 24


async def submit(rig, host, number):
    name = f"{number:016x}"
    status, _ = await host.call("POST", rig.prefix + name, rig.job())
    return name if status == 200 else None


async def case(rig):
    await rig.start(hosts=3, workers=4, task_seconds=lambda task: 0.3)
    if not await rig.until_ready():
        return None
    jobs = []
    for number in range(JOBS):
        jobs.append(await submit(rig, rig.hosts[number % 3], number + 1))
        await asyncio.sleep(0.2)
    await asyncio.sleep(2.0)
    done = {e[2]: e[0] for e in rig.ends() if e[4] == "done"}
    if None in jobs or len(done) < JOBS:
        return None
    before = len(rig.starts())
    states = [(await rig.hosts[0].call("GET", rig.prefix + j))[1].get("state")
              for j in jobs]
    if any(s != "done" for s in states):
        return None
    # The outage begins shortly before the first record is due.
    first = min(done.values())
    await asyncio.sleep(first + RETENTION_S - 0.5 - rig.record.now())
    if TROUBLE:
        rig.record.write(f"store: silent for {OUTAGE_S} s, leases run out")
        rig.store.mode = "silent"
        await asyncio.sleep(OUTAGE_S)
        rig.store.mode = "served"
        rig.record.write("store: serves again")
    else:
        await asyncio.sleep(OUTAGE_S)
    await asyncio.sleep(8.0)
    broken = []
    for at, worker, task, run in rig.starts()[before:]:
        if task in done and at > done[task]:
            broken.append(f"TWICE: run {run} of {task} starts on {worker} at "
                          f"{at:.3f}, its end as done was listed at "
                          f"{done[task]:.3f} and the job shown as done")
    return broken


rigs.run_case(FOLDER, case, {"status_s": STATUS_S}, limit=RETENTION_S + 28.0)
