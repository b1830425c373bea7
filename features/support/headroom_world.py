"""A pool with urgent and lower work, whose planner keeps headroom or not."""

import dataclasses

from features.support.engine_world import EngineWorld, draw_job, make_job, make_step
from firladder._internal.engine.planning import Planner
from firladder._internal.engine.state import Phase
from firladder._internal.engine.strategies import StrategyNames

STEP_S = 0.05


class LearnedPlanner(Planner):
    strategy_names = StrategyNames(headroom="learned")


class NoHeadroomPlanner(Planner):
    strategy_names = StrategyNames(headroom="none")


class HeadroomWorld(EngineWorld):
    """Runs end after ``takes_s`` of their priority; stops end in the next step."""

    def __init__(self, workers, planner=LearnedPlanner, *, per_rack=4):
        super().__init__(workers, per_rack=per_rack)
        self.notes = []
        self.core.note = self.note
        self.takes_s = {0: 0.2, 1: 4.0, 2: 60.0}
        self.began = {}
        self.names = 0
        self.use(planner)

    def note(self, what, **inputs):
        self.notes.append((self.now, what, inputs))

    def use(self, planner):
        self.planner = planner(self.core, reclaim_s=2.7, restart_s=0.3)

    @property
    def headroom(self):
        return self.planner._strategies.headroom

    @property
    def held(self):
        state = self.headroom._pools.get("pool")
        return (state and state.held) or frozenset()

    def add(self, step, *, priority, **fields):
        self.names += 1
        name = f"job-{self.names}"
        self.core.run_times[f"q{priority}", 0] = self.takes_s[priority]
        job = make_job(name, step, priority=priority, at=self.now)
        self.submit(dataclasses.replace(job, **fields))
        return name

    def add_urgent(self, count=1, **fields):
        step = make_step(count, 8, gang=True, one_rack=True)
        return self.add(step, priority=0, stretch=1.5, slo_s=0.25, **fields)

    def step(self):
        self.now += STEP_S
        for worker in list(self.core.workers.values()):
            for placement in list(worker.placements.values()):
                takes_s = self.takes_s[placement.unit.job.accepted.priority]
                if placement.phase is Phase.STOPPING:
                    self.end(placement, "stopped")
                elif (
                    placement.phase is Phase.ACTIVE
                    and self.now - placement.active_at >= takes_s
                ):
                    self.end(placement, "done")
        started = self.start_all()
        for placement in started:
            self.began.setdefault(placement.task.job_id, self.now)
        self.accept(started)
        return started

    def run(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.step()

    def list_idle(self):
        return [w for w in self.core.workers.values() if not w.placements]


def play_history(planner, rng, *, urgent, load):
    """Return the placements of a drawn history, in their order."""
    world = HeadroomWorld(12, planner)
    rows = []
    for _ in range(60):
        used = sum(
            p.need.accelerators
            for w in world.core.workers.values()
            for p in w.placements.values()
        )
        if used < load * 96:
            job = draw_job(rng, world.names, world.now)
            world.names += 1
            if job.priority or urgent:
                world.submit(job)
        started = world.step()
        rows += [(p.task, p.run, p.worker_id) for p in started]
    return rows
