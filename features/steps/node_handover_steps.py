import asyncio
import uuid

from behave import given, then, when

from features.environment import start_platform
from features.support.virtual_time import run_in_virtual_time
from firladder._internal.node.election import LeaderFitness
from firladder._internal.node.handover import LeadershipHandover
from standins.site import wait_for

JOB = {"spec": "0.3", "steps": [{"count": 1, "cpu": 1000, "mem_mb": 512, "gpu": 1}]}


@given("a leader with a link of {link:f} Mbit/s whose campaigns wait {delay:f} s")
def make_leader(context, link, delay):
    context.peers, context.reaches_store = [], True
    context.handover = LeadershipHandover(
        own=LeaderFitness(link, delay),
        list_candidates=lambda: context.peers,
        reaches_store=lambda: context.reaches_store,
    )


@given("a peer with {link:f} Mbit/s whose campaigns wait {delay:f} s")
def add_peer(context, link, delay):
    context.peers.append(LeaderFitness(link, delay))


@when("the store does not answer the leader")
def lose_store(context):
    context.reaches_store = False


def hands_over(context, within_s):
    async def wait():
        try:
            await asyncio.wait_for(context.handover.wait_until_due(), within_s)
        except TimeoutError:
            return False
        return True

    results = []

    async def record():
        results.append(await wait())

    run_in_virtual_time(record())
    return results[0]


@then("the leader hands over to it within {seconds:d} s")
def check_handover(context, seconds):
    assert hands_over(context, seconds)


@then("the leader does not hand over to it within {seconds:d} s")
def check_no_handover(context, seconds):
    assert not hands_over(context, seconds)


@when("it is elected again each time")
def elect_again(context):
    context.handovers = 0

    async def lead():
        while True:
            await context.handover.wait_until_due()
            context.handovers += 1

    context.leading = lead


@then("it hands over at most {limit:d} times within {seconds:d} s")
def check_times(context, limit, seconds):
    async def lead_for():
        task = asyncio.create_task(context.leading())
        await asyncio.sleep(seconds)
        task.cancel()

    run_in_virtual_time(lead_for())
    assert 1 <= context.handovers <= limit, context.handovers


@given(
    "a node with a link of {small:d} Mbit/s that leads "
    "and one with {large:d} Mbit/s that is down"
)
def start_small(context, small, large):
    links = (float(small), float(large))
    site = start_platform(context, nodes=2, links_mbps=links)
    site.nodes[1].kill()
    wait_for(lambda: site.find_leader() == 0, 10, "the small VM leads")


@when("the larger VM starts")
def start_large(context):
    context.platform.nodes[1].restart()


@then("it leads within {seconds:d} s, and a job that is submitted then is completed")
def check_leads(context, seconds):
    site = context.platform
    wait_for(lambda: site.find_leader() == 1, seconds, "the larger VM leads")
    path = f"/q1/{uuid.uuid4().hex[:16]}"
    assert site.ask("POST", path, JOB)[0] == 200
    wait_for(
        lambda: site.ask("GET", path)[1] == {"state": "completed"}, 10, "job completed"
    )
