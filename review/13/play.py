"""A planned stop of an entry while a best-effort job waits there for room."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand-ins-3"))
from deployment import BOUNDS, TROUBLE, Deployment, job_id, main, route  # noqa: E402

LONG_S = 14.0
SHORT_S = 0.5
DEADLINE_MS = 30000
TIMEOUT_MS = 60000


def job(seconds, cpu):
    phase = {"count": 1, "cpu": cpu, "mem_mb": 64, "estimate_ms": int(seconds * 1000)}
    return {"spec": str(seconds), "phases": [phase], "best_effort": True}


async def play(d):
    await d.start(config_routes=[route(timeout_ms=TIMEOUT_MS)],
                  work=lambda task, run, spec: (float(spec), "done"),
                  executors=[(["a", "r1-0"], 8000), (["a", "r1-0"], 8000)])
    # Two long jobs from the other entry take all executors.
    longs = [asyncio.create_task(d.submit(0, job_id(), job(LONG_S, 8000), DEADLINE_MS))
             for _ in range(2)]
    await asyncio.sleep(0.5)
    waiting = job_id()
    sent_at = d.record.now()
    answer = asyncio.create_task(d.submit(1, waiting, job(LONG_S, 8000), DEADLINE_MS))
    await asyncio.sleep(0.5)
    if TROUBLE:
        d.signal("front", 1, signal.SIGTERM)
    status, _ = await answer
    ended_at = d.record.now()
    for other in longs:
        await other
    started = [row for row in d.record.rows
               if row[1] == "start" and row[2]["task"].startswith(waiting)]
    late = ended_at - sent_at > BOUNDS["loss_slack_ms"] / 1000
    if status == "none" and late and not started:
        return (f"LOST: the connection ended {ended_at - sent_at:.2f} s after the request was sent, "
                "without an answer; no executor was at work on it")
    return None


main(FOLDER, lambda folder: Deployment(folder, sides=2), play)
