"""A stored job whose executor crashes twice under its only task."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand-ins-3"))
from deployment import TROUBLE, Deployment, job_id, main  # noqa: E402

TASK_S = 4.0
DOWN_S = 3.0
CRASH_AFTER_S = 1.0
CRASHES = 2


async def running_on(d, job, limit_s):
    """The executor that runs the job's task, once there is one."""
    for _ in range(int(limit_s / 0.02)):
        for executor in d.executors:
            for (task, run) in executor.running:
                if task.startswith(job):
                    return executor, run
        await asyncio.sleep(0.02)
    return None, None


async def play(d):
    executors = [(["a", f"r1-{number // 3}"], 64000) for number in range(8)]
    await d.start(executors=executors, work=lambda task, run, spec: (TASK_S, "done"))
    job = job_id()
    body = {"spec": "stitch", "phases": [{"count": 1, "cpu": 6200, "mem_mb": 64,
                                          "estimate_ms": int(TASK_S * 1000)}]}
    await d.submit_until_accepted(0, job, body)
    last = None
    for _ in range(CRASHES if TROUBLE else 0):
        executor, run = await running_on(d, job, 12)
        if executor is None or run == last:
            break
        last = run
        await asyncio.sleep(CRASH_AFTER_S)
        d.record("crash", executor=executor.number)
        await executor.stop()
        await asyncio.sleep(DOWN_S)
        await executor.start()
    state = None
    for _ in range(60):
        state = await d.state(1, job)
        if state in ("completed", "failed", "cancelled"):
            break
        await asyncio.sleep(0.5)
    failed = [row for row in d.record.rows if row[1] == "end" and row[2]["how"] == "failed"]
    if state in ("failed", "cancelled") and not failed:
        return f"LOST: an accepted job is shown as {state}, and no run of it has ended failed"
    if state != "completed":
        return f"LOST: the job is shown as {state}"
    return None


main(FOLDER, lambda folder: Deployment(folder, sides=8), play)
