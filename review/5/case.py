"""A job whose start met a runner that had just lost power stands still for 23 s."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))
sys.dont_write_bytecode = True

from stage import (  # noqa: E402
    GROWN_BOUNDS,
    TROUBLE,
    CannotRun,
    clock,
    make_configuration,
    run_case,
)

FINISH_S = 14.0
STANDSTILL_S = 3.0
STEP = {"count": 1, "cpu": 1000, "mem_mb": 100, "gpu": 1, "estimate_ms": 2000}
SMALL = {"cpu": 16000, "mem_mb": 32768, "gpu": 4}


async def play(stage) -> str:
    """Hand in two jobs; before the second one, one of 8 runners loses power."""
    stage.configure(make_configuration(5, max_attempts=4))
    # Work goes where the least is left, so to the smallest runner first.
    first = await stage.add_runner(capacity=SMALL)
    for _ in range(7):
        await stage.add_runner()
    await stage.start_nodes()
    await asyncio.sleep(2)
    await stage.submit(stage.nodes[0], f"/q1/{1:016x}", [STEP], "1.0")
    await asyncio.sleep(3)
    if TROUBLE:
        first.go_dark()
    await asyncio.sleep(0.2)
    job = f"{2:016x}"
    answer = await stage.submit(stage.nodes[0], f"/q1/{job}", [STEP], "2.0")
    if answer is None or answer[0] != 200:
        raise CannotRun("the job was not accepted")
    traffic_ended = clock()
    await asyncio.sleep(FINISH_S + STANDSTILL_S)
    starts = [s for s in stage.starts if s[2].startswith(job)]
    answer = await stage.ask(stage.nodes[1], "GET", f"/q1/{job}")
    if starts:
        return ""
    # What else the job does is only for the record.
    await asyncio.sleep(10)
    starts = [s[0] - traffic_ended for s in stage.starts if s[2].startswith(job)]
    return (
        f"for {FINISH_S + STANDSTILL_S} s after the end of the traffic no task of job"
        f" {job} ran, though 7 runners were idle; its first start came after {starts} s"
    )


if __name__ == "__main__":
    run_case(play, HERE, bounds=GROWN_BOUNDS)
