import http.client
import json
import signal
import time
import uuid

from behave import given, then, when

from features.environment import start_platform
from standins.platform_site import API_KEY
from standins.site import wait_for

JOB = {"spec": "0.3", "steps": [{"count": 1, "cpu": 1000, "mem_mb": 512, "gpu": 1}]}


@given("nodes in {domains:d} failure domains")
def start_domains(context, domains):
    names = tuple(f"domain-{n}" for n in range(domains))
    start_platform(context, nodes=domains, domains=names)
    # Nodes learn each other's failure domains from heartbeats.
    time.sleep(2.0)


@when("node {node:d} is partitioned from the store and the other domain")
def partition_node(context, node):
    site = context.platform
    site.set_store_faults(turned_away=[site.ips[node]])
    other = site.nodes[1 - node]
    other.process.send_signal(signal.SIGSTOP)
    context.add_cleanup(other.process.send_signal, signal.SIGCONT)
    context.stopped = other


@then("node {node:d} is not ready within {seconds:d} s")
def check_not_ready(context, node, seconds):
    ip = context.platform.ips[node]
    wait_for(lambda: not context.platform.is_ready(ip), seconds, "not ready")


@then("node {node:d} answers a submission within {seconds:f} s, with a time to retry")
def check_refused(context, node, seconds):
    site = context.platform
    context.job = uuid.uuid4().hex[:16]
    connection = http.client.HTTPConnection(site.ips[node], site.front, timeout=10)
    context.add_cleanup(connection.close)
    headers = {
        "Host": "jobs.example",
        "Authorization": f"Bearer {API_KEY}",
        "X-Deadline-Ms": "2500",
        "Content-Type": "application/json",
    }
    began = time.monotonic()
    connection.request("POST", f"/q1/{context.job}", json.dumps(JOB), headers)
    response = connection.getresponse()
    answer = response.read()
    assert time.monotonic() - began < seconds
    assert response.status == 503, (response.status, answer)
    assert float(response.getheader("Retry-After")) >= 1
    context.response = response


@then("it closes the connection")
def check_closed(context):
    assert context.response.getheader("Connection", "").lower() == "close"


@when("the store is silent, and a first submission to each node was not accepted")
def silence_store(context):
    site = context.platform
    site.set_store_faults(silent=True)
    context.stopped = None
    for node in range(len(site.nodes)):
        path = f"/q1/{uuid.uuid4().hex[:16]}"
        assert site.ask("POST", path, JOB, node=node)[0] in (503, 504)


@when("node {node:d} is reconnected")
def connect(context, node):
    if context.stopped is not None:
        context.stopped.process.send_signal(signal.SIGCONT)
    context.platform.set_store_faults()


@then("node {node:d} is ready again within {seconds:d} s")
def check_ready(context, node, seconds):
    ip = context.platform.ips[node]
    wait_for(lambda: context.platform.is_ready(ip), seconds, "ready")


@then("the same submission is accepted by node {node:d}, and its job completed once")
def check_taken(context, node):
    site, path = context.platform, f"/q1/{context.job}"
    wait_for(lambda: site.ask("POST", path, JOB, node=node)[0] == 200, 5, "taken")
    completed = (200, {"state": "completed"})
    wait_for(lambda: site.ask("GET", path, node=node) == completed, 15, "completed")
    ledger = site.read_ledger()
    starts = [s for s in ledger["starts"] if s[0].startswith(context.job)]
    assert len(starts) == 1, starts
    assert not ledger["problems"], ledger["problems"]
