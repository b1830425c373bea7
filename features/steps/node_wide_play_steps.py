from behave import then, when

from features.support.wide_plays import Draws, find_double_starts, find_stuck, play_wide


@when("16 jobs of all shapes are played with draws from seed {seed:d}")
def play(context, seed):
    context.play = play_wide(seed, Draws(leaders=seed % 2 == 1))


@then("no task runs twice, at one moment or after an end that was acknowledged")
def check_once(context):
    assert len(context.play.members) > 100, len(context.play.members)
    found = find_double_starts(context.play)
    assert not found, found[:3]


@then("nothing of the leader has ended by an exception, and no job is stuck")
def check_alive(context):
    play = context.play
    assert not play.failed_tasks, play.failed_tasks
    assert not find_stuck(play), find_stuck(play)
