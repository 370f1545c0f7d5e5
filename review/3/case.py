"""One job that can never be done puts all workers at rest for half a minute."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
sys.dont_write_bytecode = True

import yard as standins
from yard import Worker, step

WORKERS = 8
TASKS = 64          # of the job that can't be done; jobs have up to 72
JOBS = 24           # one hopeless job beside them: a share of 0.04


def workers(yard):
    for i in range(WORKERS):
        yard.workers.append(
            Worker(yard, f"w{i}", f"127.0.8.{i + 1}", f"r{i // 4}"))


async def case(yard, trouble):
    jobs = []
    for number in range(JOBS):
        if number == JOBS - 4 and trouble:
            await asyncio.sleep(1)
            yard.record("a job comes that can never be done")
            await yard.submit("bulk", [step(TASKS, 1, 600)],
                              {"ms": 600, "fails": True})
            await asyncio.sleep(1)
        jobs.append(await yard.submit(("bulk", "normal")[number % 2],
                                      [step(2, 1, 600)], {"ms": 600}))
        await asyncio.sleep(0.3)
    return await standins.unstarted_at_the_end(yard, jobs)


if __name__ == "__main__":
    sys.exit(standins.run_case(HERE, case, workers))
