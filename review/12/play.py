"""One job that can never be done comes among others while a long task runs on each executor."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand-ins-3"))
from deployment import BOUNDS, TROUBLE, Deployment, job_id, main  # noqa: E402

SIDES = 3
CAPACITY = 64000
CPU = 6200
LONG_S = 40.0
SHORT_S = 0.2
PAUSE_S = 0.1
BEFORE = 20
AFTER = 5
WATCH_S = 6.0


def work(task, run, spec):
    if spec == "long":
        return LONG_S, "done"
    return SHORT_S, "failed" if spec == "poison" else "done"


def job(spec, count, seconds):
    phase = {"count": count, "cpu": CPU, "mem_mb": 64, "estimate_ms": int(seconds * 1000),
             "anti_affinity": 1}
    return {"spec": spec, "phases": [phase]}


def runs_of(d, job):
    return sum(1 for e in d.executors for task, _ in e.running if task.startswith(job))


async def hand_in(d, count):
    jobs = []
    for number in range(count):
        jobs.append(job_id())
        await d.submit_until_accepted(number % 2, jobs[-1], job("sound", 1, SHORT_S))
        await asyncio.sleep(PAUSE_S)
    return jobs


async def play(d):
    await d.start(work=work, executors=[(["a", "r1-0"], CAPACITY)] * SIDES)
    # One task of 6.2 cores runs on each executor of 64 cores.
    await d.submit_until_accepted(0, job_id(), job("long", SIDES, LONG_S))
    await asyncio.sleep(0.5)
    jobs = await hand_in(d, BEFORE)
    if TROUBLE:
        await d.submit_until_accepted(1, job_id(), job("poison", SIDES, SHORT_S))
    await asyncio.sleep(2 * SHORT_S)
    jobs += await hand_in(d, AFTER)
    await asyncio.sleep(BOUNDS["finish_s"])
    idle_since = {}
    states = {}
    until = d.record.now() + WATCH_S
    while d.record.now() < until:
        for name in jobs:
            if states.get(name) not in ("completed", "failed", "cancelled"):
                states[name] = await d.state(0, name)
            if states[name] in ("completed", "failed", "cancelled") or runs_of(d, name):
                idle_since.pop(name, None)
            else:
                idle_since.setdefault(name, d.record.now())
        d.record("watch", used=[e.used() for e in d.executors], idle=len(idle_since))
        await asyncio.sleep(0.5)
    in_use = sum(e.used() for e in d.executors)
    stuck = [name for name, since in idle_since.items() if d.record.now() - since > 3]
    if stuck and 2 * in_use < SIDES * CAPACITY:
        shown = sorted({states[name] for name in stuck})
        return (f"LOST: {len(stuck)} of {len(jobs)} sound jobs are shown as {shown} with nothing "
                f"running for over 3 s, {in_use} of {SIDES * CAPACITY} of the capacity in use")
    return None


main(FOLDER, lambda folder: Deployment(folder, sides=SIDES), play)
