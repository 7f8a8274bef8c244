"""A client cancels a job that it has just handed in, while the group has no leader."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand-ins-3"))
from deployment import BOUNDS, PREFIX, RESTART_S, TROUBLE, Deployment, job_id, main  # noqa: E402

TASK_S = 2.0
STEPS = 6
DEADLINE_MS = 1500
CANCEL_AFTER_S = 0.1


async def restart(d, leader):
    await asyncio.sleep(RESTART_S)
    d.spawn("core", leader)


async def play(d):
    await d.start(work=lambda task, run, spec: (TASK_S, "done"),
                  executors=[(["a", "r1-0"], 64000)] * 3)
    job = job_id()
    phases = [{"count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": int(TASK_S * 1000)}
              for _ in range(STEPS)]
    for number in range(1, STEPS):
        phases[number]["depends_on"] = [number - 1]
    restarted = None
    if TROUBLE:
        leader = await d.leader()
        d.kill("core", leader)
        restarted = asyncio.create_task(restart(d, leader))
    # The request is still open when its client cancels the job.
    body = {"spec": "hold", "phases": phases}
    handed_in = asyncio.create_task(d.submit(0, job, body, DEADLINE_MS))
    await asyncio.sleep(CANCEL_AFTER_S)
    acknowledged = None
    for _ in range(8):
        status, _ = await d.client(0, "DELETE", PREFIX + job, deadline_ms=DEADLINE_MS)
        if status == 410 or isinstance(status, int) and 200 <= status < 300:
            acknowledged = d.record.now()
            break
        await asyncio.sleep(0.3)
    await handed_in
    if restarted:
        await restarted
    await asyncio.sleep(BOUNDS["cancel_ms"] / 1000)
    await d.state(1, job)
    await asyncio.sleep(TASK_S * STEPS)
    await d.state(1, job)
    if acknowledged is None:
        return None
    late = [(at - acknowledged, fields["task"]) for at, what, fields in d.record.rows
            if what == "start" and at > acknowledged + BOUNDS["cancel_ms"] / 1000]
    # Machines are in touch again `contact_ms` after the killed one was started.
    starts = [at for at, what, fields in d.record.rows
              if what == "process-start" and fields["kind"] == "core"]
    calm_from = starts[-1] + BOUNDS["contact_ms"] / 1000 - acknowledged
    late = [row for row in late if row[0] > calm_from]
    if late:
        return (f"UNASKED: {len(late)} tasks were started later than {BOUNDS['cancel_ms']} ms after "
                f"the cancel of their job was answered {status}, the last {late[-1][0]:.1f} s after")
    return None


main(FOLDER, lambda folder: Deployment(folder), play)
