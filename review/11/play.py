"""A stored job that only one executor may run fails once before and once after a change of leaders."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand-ins-3"))
from deployment import BOUNDS, RESTART_S, TROUBLE, Deployment, job_id, main  # noqa: E402

TASK_S = 4.0
KILL_AFTER_S = 0.5
MAX_ATTEMPTS = 4
FAILING_RUNS = 2
WATCH_S = 8.0
runs = {}


def work(task, run, spec):
    """The first runs of the labelled task end as failed, all others as done."""
    if spec != "logo":
        return 0.3, "done"
    runs.setdefault(task, []).append(run)
    return TASK_S, "failed" if len(runs[task]) <= FAILING_RUNS else "done"


async def play(d):
    await d.start(work=work, executors=[
        (["a", "r1-0"], 64000), (["a", "r1-0"], 64000), (["b", "r1-0"], 64000)])
    job = job_id()
    body = {"spec": "logo", "phases": [{"count": 1, "cpu": 500, "mem_mb": 256,
                                        "estimate_ms": int(TASK_S * 1000), "required_label": "b"}]}
    await d.submit_until_accepted(0, job, body)
    task = f"{job}.0.0.0"
    for _ in range(600):
        if len(runs.get(task, [])) == 2:
            break
        await asyncio.sleep(0.02)
    if TROUBLE:
        await asyncio.sleep(KILL_AFTER_S)
        leader = await d.leader()
        d.kill("core", leader)
        await asyncio.sleep(RESTART_S)
        d.spawn("core", leader)
    # The clients' traffic has ended. Requests for the state follow after `finish_s`.
    await asyncio.sleep(BOUNDS["finish_s"])
    idle_since = None
    labelled = d.executors[2]
    watch_until = d.record.now() + WATCH_S
    while d.record.now() < watch_until:
        state = await d.state(0, job)
        if state in ("completed", "failed", "cancelled"):
            break
        if any(key[0].startswith(job) for executor in d.executors for key in executor.running):
            idle_since = None
        else:
            idle_since = idle_since or d.record.now()
            d.record("idle", executor=labelled.number, used=labelled.used(), cpu=labelled.cpu)
        await asyncio.sleep(0.5)
    failed = [row for row in d.record.rows if row[1] == "end" and row[2]["how"] == "failed"]
    if len(failed) >= MAX_ATTEMPTS:
        return None
    if state in ("queued", "running") and idle_since and d.record.now() - idle_since > 3:
        return (f"LOST: the job is shown as {state} and nothing of it ran for "
                f"{d.record.now() - idle_since:.1f} s, {len(failed)} of {MAX_ATTEMPTS} attempts "
                f"failed, its executor is idle")
    if state != "completed":
        return f"LOST: the job is shown as {state}"
    return None


main(FOLDER, lambda folder: Deployment(folder), play)
