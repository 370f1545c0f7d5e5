"""Jobs that an unhealthy worker has refused to start count as begun."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
sys.dont_write_bytecode = True

import yard as standins
from yard import Worker, now, step

WORKERS = 12        # one is unhealthy: a share of 0.083
GREY_S = 6.5        # for so long
LIMIT_S = 5.0       # visible_ms + 2 s


def workers(yard):
    for i in range(WORKERS):
        yard.workers.append(
            Worker(yard, f"w{i}", f"127.0.8.{i + 1}", f"r{i // 4}"))


async def case(yard, trouble):
    # Long tasks fill all workers but one.
    await yard.submit("normal", [step(WORKERS - 1, 8, 60000)], {"ms": 60000})
    await asyncio.sleep(2)
    free = [w for w in yard.workers if not w.runs]
    if len(free) != 1:
        raise RuntimeError("the long tasks are not placed as expected")
    began = now()
    if trouble:
        free[0].unhealthy = True
        yard.record("worker", free[0].name, "is unhealthy")
    await asyncio.sleep(0.1)
    jobs = [await yard.submit("bulk", [step(1, 1, 2000)], {"ms": 2000})
            for _ in range(8)]
    await asyncio.sleep(max(0, jobs[-1].accepted_at + LIMIT_S + 0.3 - now()))
    broken = []
    for host in yard.hosts:
        owed = [j for j in jobs if not j.has_begun()
                and now() - j.accepted_at > LIMIT_S]
        status, answer = await yard.client("GET", "/bulk/", host=host)
        if status == 200 and answer["waiting"] < len(owed) / 2:
            broken.append(
                f"MIXED: {host.name} gives {answer['waiting']} as waiting, but "
                f"{len(owed)} jobs accepted over {LIMIT_S} s ago haven't begun")
    for job in jobs:
        await yard.state(job)
    yard.record("the trouble lasted", f"{now() - began:.1f} s")
    if now() - began > GREY_S:
        raise RuntimeError("the trouble lasted too long")
    free[0].unhealthy = False
    return broken


if __name__ == "__main__":
    TROUBLE = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(standins.run_case(HERE, case, workers, TROUBLE))
