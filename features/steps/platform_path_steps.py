import concurrent.futures
import http.client
import itertools
import json
import signal
import subprocess
import sys
import time
from pathlib import Path

from behave import given, then, when

from standins.platform_site import API_KEY
from standins.proxy import Mode, Proxy
from standins.site import ROOT, wait_for

NUMBERS = itertools.count(int(time.time() * 1000))


def make_id() -> str:
    return f"{next(NUMBERS):016x}"


def make_step(count=1, gpu=1, **fields):
    return {"count": count, "cpu": 1000, "mem_mb": 512, "gpu": gpu, **fields}


def submit(context, steps, *, takes_s=0.3, node=0, job_id=None, queue="q1"):
    job_id = job_id or make_id()
    body = {"spec": str(takes_s), "steps": steps}
    began = time.monotonic()
    status, answer = context.platform.ask("POST", f"/{queue}/{job_id}", body, node=node)
    context.spent_s = time.monotonic() - began
    context.job, context.status, context.answer = job_id, status, answer
    return status


def read_state(context, job_id, node=0):
    status, answer = context.platform.ask("GET", f"/q1/{job_id}", node=node)
    return answer["state"] if status == 200 else status


def list_live_nodes(context):
    site = context.platform
    return [
        n for n, c in enumerate(site.nodes[: len(site.ips)]) if c.process.poll() is None
    ]


@when("a client submits a job of 2 steps, the second after the first")
def submit_steps(context):
    assert submit(context, [make_step(2), make_step(3, after=[0])]) == 200


@given("the advice service refuses worker {number:d}")
def refuse_worker(context, number):
    context.add_cleanup(context.platform.set_advice_faults)
    context.platform.set_advice_faults(refused=[f"i-{number:04x}"])


@given("the advice service does not respond")
def silence_advice(context):
    context.add_cleanup(context.platform.set_advice_faults)
    context.platform.set_advice_faults(silent=True)


@when("the advice service responds again")
def restore_advice(context):
    context.platform.set_advice_faults()


def submit_advised(context, steps, *, node=0, job_id=None):
    return submit(
        context,
        steps,
        takes_s="0.3 1 1 advised",
        node=node,
        job_id=job_id,
        queue="advised",
    )


@when("a client submits an advised job of 2 tasks, and one after them")
def submit_advised_steps(context):
    assert submit_advised(context, [make_step(2), make_step(1, after=[0])]) == 200


@then("nothing of it ran on worker {number:d}, and no ticket was rejected")
def check_advised(context, number):
    ledger = context.platform.read_ledger()
    workers = {s[2] for s in ledger["starts"] if s[0].startswith(context.job)}
    assert f"i-{number:04x}" not in workers, workers
    assert not ledger["rejected_tickets"], ledger["rejected_tickets"]


@when("a client submits an advised job of 1 task, and repeats it with others")
def repeat_advised(context):
    assert submit_advised(context, [make_step()]) == 200
    context.first = context.job


@then(
    "within {seconds:d} s other advised jobs are refused at every node, the first never"
)
def check_refused(context, seconds):
    for node in list_live_nodes(context):

        def is_refused(node=node):
            assert (
                submit_advised(context, [make_step()], node=node, job_id=context.first)
                == 200
            )
            return submit_advised(context, [make_step()], node=node) == 503

        wait_for(is_refused, seconds, f"refusal at node {node}")
        assert context.answer["type"] == "advice_unavailable", context.answer
        again = submit_advised(context, [make_step()], node=node, job_id=context.first)
        assert again == 200, again


@then('the first advised job is shown as "{state}" within {seconds:d} s')
def check_first_advised(context, state, seconds):
    wait_for(lambda: read_state(context, context.first) == state, seconds, state)


@when("a client submits a gang of {count:d} tasks with {gpu:d} accelerators")
def submit_gang(context, count, gpu):
    assert submit(context, [make_step(count, gpu, gang=True)]) == 200


@then('every node shows it as "{state}" within {seconds:d} s')
def check_state(context, state, seconds):
    for node in list_live_nodes(context):
        wait_for(
            lambda node=node: read_state(context, context.job, node) == state,
            seconds,
            f"{state} at node {node}",
        )


@then("each of its {count:d} tasks has run exactly once")
def check_runs(context, count):
    ledger = context.platform.read_ledger()
    starts = [s for s in ledger["starts"] if s[0].startswith(context.job)]
    assert len(starts) == count, starts
    assert not ledger["problems"], ledger["problems"]


@when("a client submits a job of 1 task of {takes:f} s twice at once and after its end")
def submit_again(context, takes):
    job_id = make_id()
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        submissions = [
            pool.submit(
                submit, context, [make_step()], takes_s=takes, node=node, job_id=job_id
            )
            for node in (0, 1)
        ]
        context.statuses = [t.result() for t in submissions]
    wait_for(lambda: read_state(context, job_id) == "completed", 15, "completed")
    context.statuses.append(submit(context, [make_step()], job_id=job_id, node=1))
    time.sleep(1.0)


@then("every submission is answered 200")
def check_statuses(context):
    assert set(context.statuses) == {200}, context.statuses


@given("a client has submitted a job of {count:d} task of {takes:f} s that is running")
@given("a client has submitted a job of {count:d} tasks of {takes:f} s that is running")
def submit_running(context, count, takes):
    assert submit(context, [make_step(count)], takes_s=takes) == 200
    context.first = context.job
    wait_for(lambda: find_running(context, context.job), 10, "at work")


def find_running(context, job_id):
    running = context.platform.read_ledger()["running"].values()
    return [t for tasks in running for t in tasks if t.startswith(job_id)]


@when("the client cancels it")
def cancel(context):
    status, _ = context.platform.ask("DELETE", f"/q1/{context.job}", node=1)
    assert status == 200, status


@then("nothing of it runs within {seconds:d} s")
def check_not_running(context, seconds):
    wait_for(lambda: not find_running(context, context.job), seconds, "stopped")


@when("clients send invalid requests")
def send_invalid(context):
    context.before = len(context.platform.read_ledger()["starts"])
    context.refusals = []
    for row in context.table:
        connection = http.client.HTTPConnection(
            context.platform.ips[0], context.platform.front, timeout=5
        )
        key = API_KEY if row["key"] == "right" else "other"
        headers = {"Host": "jobs.example", "Authorization": f"Bearer {key}"}
        connection.request(
            row["method"], row["path"], body=row["body"] or None, headers=headers
        )
        response = connection.getresponse()
        raw = response.read()
        kind = json.loads(raw).get("type") if raw else None
        context.refusals.append((dict(row.items()), response.status, kind))
        connection.close()


@then("each is answered as listed, and nothing has started")
def check_refusals(context):
    for row, status, kind in context.refusals:
        assert status == int(row["status"]), (row, status, kind)
        assert kind, row
    assert len(context.platform.read_ledger()["starts"]) == context.before


@when("a client submits {count:d} jobs that fit on no worker")
def submit_unfit(context, count):
    for _ in range(count):
        assert submit(context, [make_step(1, 64)], queue="q2") == 200


@then("every node reports that {count:d} jobs of that queue wait")
def check_pending(context, count):
    for node in list_live_nodes(context):
        wait_for(
            lambda node=node: (
                context.platform.ask("GET", "/q2/", node=node)
                == (200, {"pending": count})
            ),
            5,
            "pending",
        )


@when("invalid entries are written beside valid ones")
def write_invalid(context):
    site = context.platform
    context.written = {
        "servers/i-none": {"backend": "pool-a"},
        "servers/i-types": {**json.loads("{}"), "address": 7, "state": "ready"},
        "servers/i-bytes": "\x00\x01 no json",
        "servers/i-state": {
            "backend": "pool-a",
            "address": "127.0.9.9:9",
            "zone": "d",
            "state": "asleep",
            "capacity": {"cpu": 1, "mem_mb": 1, "gpu": 0},
        },
        "firladder/in/j/ffffffffffffffff": "no record",
        "firladder/run/ffffffffffffffff": "no record",
        "op/other": "no json",
    }
    for key, value in context.written.items():
        site.put(key, value)


@when("a client submits a job of 1 task of {takes:f} s")
@when("a client submits another job of 1 task of {takes:f} s")
def submit_one(context, takes):
    submit(context, [make_step()], takes_s=takes, node=list_live_nodes(context)[0])


@when("a client submits a job of 1 task of {takes:f} s at node {node:d}")
def submit_at(context, takes, node):
    assert submit(context, [make_step()], takes_s=takes, node=node) == 200


@then("each invalid entry was skipped and logged")
def check_skipped(context):
    logs = context.platform.read_logs()
    for key in context.written:
        if key.startswith("servers/"):
            assert key in logs, key
    assert "stored job left out" in logs


@given("the store rejects the calls of node {node:d}")
def reject_node(context, node):
    context.platform.set_store_faults(turned_away=[context.platform.ips[node]])
    context.add_cleanup(context.platform.set_store_faults)


@when("the operators revoke the key")
def revoke(context):
    site = context.platform
    site.configuration["version"] += 1
    site.configuration["tenants"][0]["api_keys"] = ["another"]
    site.configure()

    def restore():
        site.configuration["version"] += 1
        site.configuration["tenants"][0]["api_keys"] = [API_KEY]
        site.configure()
        for node in list_live_nodes(context):
            wait_for(lambda n=node: read_state(context, "0" * 16, n) != 401, 10, "key")

    context.add_cleanup(restore)


@then("node {node:d} answers 401 within {seconds:d} s")
def check_revoked(context, node, seconds):
    wait_for(lambda: read_state(context, "0" * 16, node) == 401, seconds, "401")


@given("the store does not respond")
def silence(context):
    context.platform.set_store_faults(silent=True)
    context.add_cleanup(clear_store_faults, context)


@given("the store rejects all calls")
def make_busy(context):
    context.platform.set_store_faults(busy=True)
    context.add_cleanup(clear_store_faults, context)


@when("the store responds again")
def clear_store_faults(context):
    context.platform.set_store_faults()
    wait_for(lambda: context.platform.find_leader() is not None, 15, "a leader")


@then("it is answered {status:d} before its deadline")
def check_unknown(context, status):
    assert context.status == status, (context.status, context.answer)
    assert context.spent_s < 2.5, context.spent_s


@then("the job exists, or never runs")
def check_exists_or_not(context):
    state = wait_for(lambda: read_state(context, context.job), 10, "state")
    if state == 410:
        check_never_runs(context)
    else:
        check_state(context, "completed", 15)


@then("it is answered {status:d} within {seconds:d} s with a time to retry")
def check_refused(context, status, seconds):
    assert context.status == status, (context.status, context.answer)
    assert context.spent_s < seconds, context.spent_s
    assert context.answer["retry_after_s"] >= 1, context.answer


@then("the job does not exist and never runs")
def check_never_runs(context):
    time.sleep(1.5)
    assert read_state(context, context.job) == 410
    starts = context.platform.read_ledger()["starts"]
    assert not [s for s in starts if s[0].startswith(context.job)]


def count_logged(context, text):
    return [n.log.read_text().count(text) for n in context.platform.nodes]


@given("every node has logged the outage")
def wait_noticed(context):
    context.lost = count_logged(context, "store unreachable")
    context.found = count_logged(context, "store reachable again")
    wait_for(
        lambda: all(
            lost > found
            for lost, found in zip(
                count_logged(context, "store unreachable"), context.found, strict=True
            )
        ),
        10,
        "noticed",
    )
    time.sleep(2.0)


@then("every node logs within {seconds:f} s that the store is reachable")
def check_noticed(context, seconds):
    wait_for(
        lambda: all(
            now > before
            for now, before in zip(
                count_logged(context, "store reachable again"),
                context.found,
                strict=True,
            )
        ),
        seconds,
        "store is back",
    )


@given("the records have {size:d} KB more, and node 0 has a slow link to the store")
def slow_link(context, size):
    site = context.platform
    for number in range(50):
        site.put(f"firladder/in/j/f{number:015x}", "x" * (size * 1000 // 50 * 3 // 4))
    proxy = Proxy()
    context.add_cleanup(proxy.close)
    listen = f"127.0.9.3:{next(site.spare_ports)}"
    proxy.add("store", listen, site.store)
    proxy.set_mode("store", Mode.DELAY, delay_s=0.25)
    node = site.nodes[0]
    context.add_cleanup(set_store_address, site, node, site.store)
    set_store_address(site, node, listen)


def set_store_address(site, node, address):
    lines = node.settings.read_text().splitlines()
    kept = [x for x in lines if not x.startswith("address")]
    kept.insert(kept.index("[platform]") + 1, f'address = "{address}"')
    node.settings.write_text("\n".join(kept) + "\n")
    before = node.log.read_text().count("settings reloaded")
    node.signal(signal.SIGHUP)
    wait_for(
        lambda: node.log.read_text().count("settings reloaded") > before, 5, "reloaded"
    )


@when("all nodes are killed and node 0 alone starts again")
def kill_all(context):
    site = context.platform
    for number, node in enumerate(site.nodes):
        node.kill()
        context.add_cleanup(restart_node, context, number)
    site.nodes[0].restart()
    wait_for(lambda: site.is_ready(site.ips[0]), 20, "node 0 ready")


@then('it is shown as "{state}" by node 0 within {seconds:d} s')
def check_node_zero(context, state, seconds):
    wait_for(lambda: read_state(context, context.job, 0) == state, seconds, state)


@given("the operators evacuate the workers' failure domain")
def evacuate_domain(context):
    context.platform.put("op/evacuate/d", {})
    context.add_cleanup(context.platform.remove, "op/evacuate/d")
    # Work that started just before the request may continue.
    time.sleep(1.0)


@when("the operators end the evacuation")
def end_evacuation(context):
    context.platform.remove("op/evacuate/d")


@then("nothing of it has started {seconds:d} s later")
def check_not_started(context, seconds):
    time.sleep(seconds)
    starts = context.platform.read_ledger()["starts"]
    assert not [s for s in starts if s[0].startswith(context.job)], starts


@then('the job is shown as "{state}" by a live node within {seconds:d} s')
def check_live_state(context, state, seconds):
    node = list_live_nodes(context)[0]
    wait_for(lambda: read_state(context, context.job, node) == state, seconds, state)


@when("the leader is killed")
def kill_leader(context):
    site = context.platform
    leader = wait_for(lambda: site.find_leader() is not None, 15, "a leader")
    leader = site.find_leader()
    site.nodes[leader].kill()
    context.add_cleanup(restart_node, context, leader)


def restart_node(context, number):
    site = context.platform
    if site.nodes[number].process.poll() is not None:
        site.nodes[number].restart()
    wait_for(lambda: site.is_ready(site.ips[number]), 30, "node back")


@then('both jobs are shown as "{state}" within {seconds:d} s')
def check_both(context, state, seconds):
    node = list_live_nodes(context)[0]
    for job_id in (context.first, context.job):
        wait_for(lambda j=job_id: read_state(context, j, node) == state, seconds, state)


@then("nothing has run twice")
def check_not_twice(context):
    problems = context.platform.read_ledger()["problems"]
    assert not problems, problems


@given("the store drops a third of its responses and writes late")
def lose_answers(context):
    context.platform.set_store_faults(lost_share=0.33, late_s=1.0)
    context.add_cleanup(clear_store_faults, context)


@given("workers execute a third of the orders {seconds:f} s late")
def make_late(context, seconds):
    site = context.platform
    for number in range(len(site.workers)):
        site.set_worker_faults(number, late_share=0.33, late_s=seconds)
        context.add_cleanup(site.set_worker_faults, number)


@given("the store drops its history repeatedly")
def forget_history(context):
    context.forget = True


@when(
    "clients submit {count:d} jobs of 1 task of {takes:f} s, retrying unknown outcomes"
)
def submit_many(context, count, takes):
    context.accepted = []
    for _ in range(count):
        job_id = make_id()
        for _ in range(4):
            if getattr(context, "forget", False):
                from standins.site import call

                call(context.platform.store, "POST", "/drop-history", {})
            status = submit(context, [make_step()], takes_s=takes, job_id=job_id)
            if status == 200:
                context.accepted.append(job_id)
            if status in (200, 503):
                break
    assert context.accepted


@then("all jobs that were accepted are completed within {seconds:d} s")
def check_accepted(context, seconds):
    node = list_live_nodes(context)[0]
    end = time.monotonic() + seconds
    for job_id in context.accepted:
        remaining_s = max(0.5, end - time.monotonic())
        wait_for(
            lambda j=job_id: read_state(context, j, node) == "completed",
            remaining_s,
            job_id,
        )


@when("the leader is asked to stop while clients submit jobs")
def stop_leader(context):
    site = context.platform
    wait_for(lambda: site.find_leader() is not None, 15, "a leader")
    leader = site.find_leader()
    context.old_leader, context.aborted_requests, context.accepted = leader, [], []
    connection = http.client.HTTPConnection(site.ips[leader], site.front, timeout=5)
    site.nodes[leader].signal(signal.SIGTERM)
    context.stopped_at = time.monotonic()
    context.led_after = None
    while time.monotonic() - context.stopped_at < 3.5:
        job_id = make_id()
        body = json.dumps({"spec": "0.2", "steps": [make_step()]})
        headers = {"Host": "jobs.example", "Authorization": f"Bearer {API_KEY}"}
        try:
            connection.request("POST", f"/q1/{job_id}", body=body, headers=headers)
            response = connection.getresponse()
            response.read()
            if response.status == 200:
                context.accepted.append(job_id)
        except ConnectionRefusedError:
            break
        except OSError as error:
            context.aborted_requests.append(repr(error))
            break
        if context.led_after is None:
            found = site.find_leader()
            if found is not None and found != leader:
                context.led_after = time.monotonic() - context.stopped_at
        time.sleep(0.1)
    context.add_cleanup(restart_node, context, leader)
    site.nodes[leader].process.wait(10)


@then("no request on an open connection is aborted")
def check_none_aborted(context):
    assert not context.aborted_requests, context.aborted_requests


@then("a successor leads within {seconds:d} s of the signal")
def check_successor(context, seconds):
    assert context.led_after is not None
    assert context.led_after < seconds, context.led_after


@when("a node's settings file becomes invalid and it gets SIGHUP")
def break_settings(context):
    node = context.platform.nodes[0]
    context.valid_settings = node.settings.read_text()
    node.settings.write_text("node = 7")
    node.signal(signal.SIGHUP)


@then("it logs the refusal and continues to serve")
def check_refused_settings(context):
    node = context.platform.nodes[0]
    wait_for(lambda: "settings refused" in node.log.read_text(), 5, "refused")
    assert context.platform.is_ready(node.ip)


@when("the settings file is valid again")
def restore_settings(context):
    context.platform.nodes[0].settings.write_text(context.valid_settings)


@then("it logs that it has reloaded it")
def check_reloaded(context):
    node = context.platform.nodes[0]
    wait_for(lambda: "settings reloaded" in node.log.read_text(), 5, "reloaded")


@when("a node is started with a settings file that lacks the store's address")
def start_wrong(context):
    path = context.platform.directory / "wrong.toml"
    text = context.platform.nodes[0].settings.read_text()
    path.write_text("\n".join(x for x in text.splitlines() if "address" not in x))
    context.ended = subprocess.run(
        [sys.executable, "deploy/launch.py", "node", f"--node_file={path}"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30,
    )


@then("it ends with code 2 and names the field")
def check_ended(context):
    assert context.ended.returncode == 2, context.ended
    assert "platform" in context.ended.stderr, context.ended.stderr
    assert "address" in context.ended.stderr, context.ended.stderr


def ignores_reload(process):
    """Return whether a process ignores SIGHUP, which its first line sets."""
    lines = Path(f"/proc/{process.pid}/status").read_text().splitlines()
    mask = next(line.split()[1] for line in lines if line.startswith("SigIgn"))
    return bool(int(mask, 16) & 1 << signal.SIGHUP - 1)


@when("node {number:d} is killed, started again and told to reload as it starts")
def reload_early(context, number):
    node = context.platform.nodes[number]
    context.add_cleanup(restart_node, context, number)
    node.kill()
    node.restart()
    end = time.monotonic() + 10
    while not ignores_reload(node.process):
        assert time.monotonic() < end, "the signal is never ignored"
        time.sleep(0.002)
    node.signal(signal.SIGHUP)


@then("node {number:d} is ready within {seconds:d} s")
def check_ready(context, number, seconds):
    site = context.platform
    wait_for(lambda: site.is_ready(site.ips[number]), seconds, "ready")
