"""The command line. Each subcommand imports what it needs when it is called, to keep the others fast.

Exit status: 0 success, 1 the command ran but failed (a rule broken, a run interrupted), 2 the command did not
start because its input is invalid; one line on standard error names the file and the key.
"""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click

from nettledeal.configuration_files import ConfigError


class InvalidInput(click.ClickException):
    """The command can't start: one line on standard error, exit status 2."""

    exit_code = 2

    def show(self, file=None) -> None:
        click.echo(f"nettledeal: {self.format_message()}", err=True)


def _invalid_input(file: Path | None, error: Exception) -> InvalidInput:
    return InvalidInput(f"{file}: {error}" if file else str(error))


@click.group(context_settings={"help_option_names": ["-h", "--help"]}, no_args_is_help=True)
def cli() -> None:
    """nettledeal, a client-side load balancer.

    \b
    nettledeal agent agent.json             run one agent
    nettledeal check agent.json             check a file
    nettledeal fleet run first.toml         run an experiment with agents, stand-ins and clients
    nettledeal members 127.0.0.1:7071       list the members an agent knows
    """


@cli.command()
@click.argument("file", type=click.Path(path_type=Path), required=False)
def agent(file: Path | None) -> int:
    """Run one agent by FILE, or by the one that EDGE_CONFIG names.

    \b
    nettledeal agent agent.json
    """
    if file is not None:
        os.environ["EDGE_CONFIG"] = str(file)
    from nettledeal import agent as program

    return program.main()


@cli.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print the result as one JSON object.")
def check(file: Path, as_json: bool) -> int:
    """Check an agent's configuration (JSON) or an experiment (TOML) without starting anything.

    \b
    nettledeal check agent.json
    nettledeal check experiments/first.toml --json
    """
    from nettledeal import configuration

    try:
        if file.suffix == ".toml":
            from nettledeal.fleet import experiment

            experiment.load_experiment(file)
        else:
            configuration.read_configuration(os.environ | {"EDGE_CONFIG": str(file)})
    except ConfigError as error:
        if not as_json:
            raise _invalid_input(file, error) from None
        _print_json({"file": str(file), "sound": False, "fault": str(error)})
        return 2
    if as_json:
        _print_json({"file": str(file), "sound": True})
    else:
        click.echo(f"{file}: sound")
    return 0


@cli.command()
@click.argument("address")
@click.option("--json", "as_json", is_flag=True, help="Print the agent's answer as one JSON object.")
def members(address: str, as_json: bool) -> int:
    """List the members known to the agent whose admin port is at ADDRESS, with their states.

    \b
    nettledeal members 127.0.0.1:7071
    """
    import msgspec

    answer = _send_admin_command(address, "members")
    if as_json:
        click.echo(answer)
        return 0
    view = msgspec.json.decode(answer)
    sure = "" if view["sure"] else ", not sure: the old count holds"
    click.echo(f"{view['name']} of {view['cluster']}: counts {view['counted']} agents{sure}")
    for entry in view["members"]:
        reporter = f", says {entry['by']}" if entry["by"] else ""
        click.echo(
            f"{entry['name']:<24} {entry['state']:<8} {entry['at']:<22} for {entry['for_s']:.1f} s{reporter}"
        )
    return 0


@cli.command()
@click.argument("address")
@click.argument("name")
def forget(address: str, name: str) -> int:
    """Treat the dead member NAME as one that has left, on all agents.

    The command goes to the agent whose admin port is at ADDRESS; that agent tells the others.

    \b
    nettledeal forget 127.0.0.1:7071 agent-17
    """
    click.echo(_send_admin_command(address, f"forget {name}"))
    return 0


def _send_admin_command(address: str, line: str) -> str:
    """Send a command line to an agent's admin port; its answer without the leading `+OK`."""
    import socket

    from nettledeal.net.address import parse_address

    try:
        with socket.create_connection(parse_address(address), timeout=5.0) as sock:
            sock.sendall(line.encode() + b"\n")
            sock.shutdown(socket.SHUT_WR)
            answer = b"".join(iter(lambda: sock.recv(65536), b"")).decode(errors="replace")
    except (OSError, ValueError) as error:
        raise InvalidInput(f"{address}: {error}") from None
    status, _, text = answer.strip().partition(" ")
    if status != "+OK":
        raise InvalidInput(f"{address}: {text or 'no answer'}")
    return text


@cli.group()
def fleet() -> None:
    """Experiments with many agents as real processes, stand-ins for their environment and injected faults."""


@fleet.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--out", type=click.Path(path_type=Path), help="Folder for the results.")
@click.option(
    "--beside", multiple=True, metavar="NAME=TREE", help="Also run another version, from its source tree."
)
@click.option("--policies", help="Run only these of the file's policies, separated by commas.")
@click.option("--agents", type=click.IntRange(1), help="Number of agents, instead of the file's.")
@click.option("--seed", type=int, help="Seed, instead of the file's.")
@click.option(
    "--runs", type=click.IntRange(1, 100), default=1, help="Number of runs, with consecutive seeds."
)
@click.option("--json", "as_json", is_flag=True, help="Print the result as one JSON object.")
def run(
    file: Path,
    out: Path | None,
    beside: tuple[str, ...],
    policies: str | None,
    agents: int | None,
    seed: int | None,
    runs: int,
    as_json: bool,
) -> int:
    """Run the experiment FILE and print its results; exit status 1 if a rule was broken.

    \b
    nettledeal fleet run experiments/first.toml
    nettledeal fleet run experiments/calm.toml --agents 200 --beside landed=../before/src --out results/calm
    """
    from nettledeal.fleet import experiment, experiment_runner

    try:
        plan = experiment.load_experiment(file, agents=agents, seed=seed, policies=policies, beside=beside)
    except ConfigError as error:
        raise _invalid_input(file, error) from None
    try:
        return experiment_runner.run_experiment(plan, out, as_json, runs)
    except ConfigError as error:
        raise _invalid_input(None, error) from None


@fleet.command()
@click.option("--members", "count", type=click.IntRange(4, 1000), default=20, show_default=True)
@click.option(
    "--loss", type=click.FloatRange(0, 0.9), default=0.2, show_default=True, help="Share of datagrams lost."
)
@click.option(
    "--pause",
    type=click.FloatRange(0, 60),
    default=5.0,
    show_default=True,
    help="Seconds for which each third of the members is stopped in turn; 0 for none.",
)
@click.option("--minutes", type=click.FloatRange(0, 120), default=1.0, show_default=True)
@click.option("--deaths", type=click.IntRange(0, 50), default=3, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print the figures as one JSON object.")
def talk(count: int, loss: float, pause: float, minutes: float, deaths: int, as_json: bool) -> int:
    """Measure membership with real processes: its cost, false reports and time to detect a death.

    \b
    nettledeal fleet talk --members 200 --loss 0.2 --pause 5 --minutes 10
    """
    from nettledeal.fleet import membership_trial
    from nettledeal.fleet.child_processes import RunAborted

    try:
        figures = membership_trial.measure(
            count,
            loss=loss,
            pause=pause,
            minutes=minutes,
            deaths=deaths,
            progress=lambda text: click.echo(text, err=True),
        )
    except RunAborted as error:
        click.echo(f"nettledeal: {error}; all that was started has ended", err=True)
        return 1
    if as_json:
        _print_json(figures)
        return 0
    for name, value in figures.items():
        click.echo(f"{name:<28} {value:.4g}" if isinstance(value, float) else f"{name:<28} {value}")
    return 0


@fleet.command()
@click.option("--count", type=click.IntRange(1), default=1000, show_default=True, help="Number of schedules.")
@click.option("--first", type=click.IntRange(0), default=0, show_default=True, help="Seed of the first one.")
def rehearse(count: int, first: int) -> int:
    """Simulate membership in virtual time under seeded fault schedules.

    Exit status 1 if an invariant did not hold.

    \b
    nettledeal fleet rehearse --count 20000
    """
    from nettledeal_simulations.membership import many
    from nettledeal_simulations.membership import rehearse as run_schedule

    failures = 0
    for seed, violations in many(run_schedule, range(first, first + count)):
        failures += 1
        click.echo(f"seed {seed}: {'; '.join(violations[:3])}")
    click.echo(f"{count} schedules from seed {first} on, {failures} broke an invariant")
    return 1 if failures else 0


@fleet.command()
@click.argument("folder", type=click.Path(path_type=Path))
@click.option("--to", type=click.Path(path_type=Path), help="Folder for the plots, if another one.")
def plot(folder: Path, to: Path | None) -> int:
    """Plot the results of `fleet run --out FOLDER`: response times, and load per second with faults marked.

    \b
    nettledeal fleet plot results/calm
    """
    from nettledeal.fleet import plots

    try:
        for path in plots.draw(folder, to or folder):
            click.echo(str(path))
    except ConfigError as error:
        raise _invalid_input(None, error) from None
    return 0


def _print_json(content: dict) -> None:
    import msgspec

    click.echo(msgspec.json.encode(content).decode())


def main() -> int:
    """Entry of the console script; returns the exit status."""
    try:
        return cli.main(prog_name="nettledeal", standalone_mode=False) or 0
    except click.exceptions.Abort:
        click.echo("nettledeal: interrupted", err=True)
        return 1
    except InvalidInput as error:
        error.show()
        return error.exit_code
    except click.ClickException as error:
        click.echo(f"nettledeal: {error.format_message()} (see --help)", err=True)
        return 2


if __name__ == "__main__":
    sys.exit(main())
