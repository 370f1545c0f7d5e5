"""One job that can never be done puts all workers at rest for half a minute."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
sys.dont_write_bytecode = True

import yard as standins
from yard import Worker, now, step

WORKERS = 8
TASKS = 64          # of the job that can't be done; jobs have up to 72
BEFORE = 20         # jobs of the same kind before it, and after it: one of 25
AFTER = 4           # can't be done, a share of 0.04, all within 3 s
TASK_MS = 300


def workers(yard):
    for i in range(WORKERS):
        yard.workers.append(
            Worker(yard, f"w{i}", f"127.0.8.{i + 1}", f"r{i // 4}"))


async def case(yard, trouble):
    began = now()
    jobs = []
    for _ in range(BEFORE):
        jobs.append(await yard.submit("bulk", [step(1, 1, TASK_MS)],
                                      {"ms": TASK_MS}))
        await asyncio.sleep(0.04)
    await asyncio.sleep(0.5)
    if trouble:
        yard.record("a job comes that can never be done")
        await yard.submit("bulk", [step(TASKS, 1, TASK_MS)],
                          {"ms": TASK_MS, "fails": True})
    await asyncio.sleep(0.6)
    for _ in range(AFTER):
        jobs.append(await yard.submit("bulk", [step(2, 1, TASK_MS)],
                                      {"ms": TASK_MS}))
    yard.record("jobs came for", f"{now() - began:.1f} s")
    return await standins.unstarted_at_the_end(yard, jobs)


if __name__ == "__main__":
    TROUBLE = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(standins.run_case(HERE, case, workers, TROUBLE))
