import subprocess
import sys

from behave import then, when

from standins.site import ROOT

SOAK_TIMEOUT_S = 240


@when(
    "the soak runs with seed {seed:d} for {seconds:d} s in {domains:d} failure domains"
)
def run_soak_over_domains(context, seed, seconds, domains):
    run_soak(context, seed, seconds, domains)


@when("the soak runs with seed {seed:d} for {seconds:d} s, half its jobs advised")
def run_advised_soak(context, seed, seconds):
    run_soak(context, seed, seconds, advised_share=0.5)


@when(
    "the soak runs with seed {seed:d} for {seconds:d} s, half its workers keeping "
    "their ids"
)
def run_restarting_soak(context, seed, seconds):
    run_soak(context, seed, seconds, restart_share=0.5)


@when("the soak runs with seed {seed:d} for {seconds:d} s")
def run_soak(context, seed, seconds, domains=1, advised_share=0.0, restart_share=0.0):
    command = [sys.executable, "-m", "standins.soak"]
    command += [f"--seed={seed}", f"--seconds={seconds}", f"--domains={domains}"]
    command += [f"--advised_share={advised_share}", f"--restart_share={restart_share}"]
    context.soak = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=SOAK_TIMEOUT_S
    )


@then("no promise was broken")
def check_no_problems(context):
    assert context.soak.returncode == 0, context.soak.stdout + context.soak.stderr
    assert "0 problems" in context.soak.stdout, context.soak.stdout
