"""The command line. Each subcommand loads what it needs when it is called, so that none pays for another.

Exit status: 0 done, 1 done and found wanting (a rule broken, a run cut off), 2 not begun: a fault in what
was asked, on one line that names the file and the key.
"""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click

from nettledeal.configuration_files import ConfigError


class Refusal(click.ClickException):
    """What was asked cannot be begun; one line on standard error, exit status 2."""

    exit_code = 2

    def show(self, file=None) -> None:
        click.echo(f"nettledeal: {self.format_message()}", err=True)


def _refused(file: Path | None, fault: Exception) -> Refusal:
    return Refusal(f"{file}: {fault}" if file else str(fault))


@click.group(context_settings={"help_option_names": ["-h", "--help"]}, no_args_is_help=True)
def cli() -> None:
    """nettledeal, a client-side load balancer.

    \b
    nettledeal agent agent.json             one agent beside its caller
    nettledeal check agent.json             is the file sound?
    nettledeal fleet run first.toml         agents, stand-ins and clients at work, and what came of it
    nettledeal members 127.0.0.1:7071       whom an agent takes for alive
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
@click.option("--json", "as_json", is_flag=True, help="Say it as one JSON object, for machines.")
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
            configuration.read(os.environ | {"EDGE_CONFIG": str(file)})
    except ConfigError as fault:
        if not as_json:
            raise _refused(file, fault) from None
        _say({"file": str(file), "sound": False, "fault": str(fault)})
        return 2
    if as_json:
        _say({"file": str(file), "sound": True})
    else:
        click.echo(f"{file}: sound")
    return 0


@cli.command()
@click.argument("address")
@click.option("--json", "as_json", is_flag=True, help="Print what the agent says as one JSON object.")
def members(address: str, as_json: bool) -> int:
    """Whom the agent with its admin port at ADDRESS takes for alive, suspect, dead or gone.

    \b
    nettledeal members 127.0.0.1:7071
    """
    import msgspec

    answer = _told_at_door(address, "members")
    if as_json:
        click.echo(answer)
        return 0
    found = msgspec.json.decode(answer)
    sure = "" if found["sure"] else ", not sure: the old count holds"
    click.echo(f"{found['name']} of {found['cluster']}: counts {found['counted']} agents{sure}")
    for one in found["members"]:
        by = f", says {one['by']}" if one["by"] else ""
        click.echo(f"{one['name']:<24} {one['state']:<8} {one['at']:<22} for {one['for_s']:.1f} s{by}")
    return 0


@cli.command()
@click.argument("address")
@click.argument("name")
def forget(address: str, name: str) -> int:
    """Count a dead member NAME as one that has left; told to the agent with its admin port at ADDRESS, and by
    it to all.

    \b
    nettledeal forget 127.0.0.1:7071 agent-17
    """
    click.echo(_told_at_door(address, f"forget {name}"))
    return 0


def _told_at_door(address: str, line: str) -> str:
    """What an agent answers to a line at its admin port, without the word that it was done."""
    import socket

    from nettledeal.net.address import parse_address

    try:
        with socket.create_connection(parse_address(address), timeout=5.0) as sock:
            sock.sendall(line.encode() + b"\n")
            sock.shutdown(socket.SHUT_WR)
            said = b"".join(iter(lambda: sock.recv(65536), b"")).decode(errors="replace")
    except (OSError, ValueError) as fault:
        raise Refusal(f"{address}: {fault}") from None
    word, _, rest = said.strip().partition(" ")
    if word != "+OK":
        raise Refusal(f"{address}: {rest or 'no answer'}")
    return rest


@cli.group()
def fleet() -> None:
    """Many agents as real processes, stand-ins for all that they meet, and faults between them."""


@fleet.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--out", type=click.Path(path_type=Path), help="Folder to keep the result in.")
@click.option("--beside", multiple=True, metavar="NAME=TREE", help="Play another version too, from its tree.")
@click.option("--policies", help="Of the file's policies only these, by commas.")
@click.option("--agents", type=click.IntRange(1), help="Another number of agents than the file says.")
@click.option("--seed", type=int, help="Another seed than the file says.")
@click.option("--runs", type=click.IntRange(1, 100), default=1, help="So many seeds, from that one on.")
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
    """Play the experiment FILE and say what came of it; exit status 1 where a rule was broken.

    \b
    nettledeal fleet run experiments/first.toml
    nettledeal fleet run experiments/calm.toml --agents 200 --beside landed=../before/src --out results/calm
    """
    from nettledeal.fleet import experiment, experiment_runner

    try:
        plan = experiment.load_experiment(file, agents=agents, seed=seed, policies=policies, beside=beside)
    except ConfigError as fault:
        raise _refused(file, fault) from None
    try:
        return experiment_runner.run_experiment(plan, out, as_json, runs)
    except ConfigError as fault:
        raise _refused(None, fault) from None


@fleet.command()
@click.option("--members", "count", type=click.IntRange(4, 1000), default=20, show_default=True)
@click.option("--loss", type=click.FloatRange(0, 0.9), default=0.2, show_default=True, help="Of datagrams.")
@click.option(
    "--pause",
    type=click.FloatRange(0, 60),
    default=5.0,
    show_default=True,
    help="Seconds for which a third after another is stopped; 0 none.",
)
@click.option("--minutes", type=click.FloatRange(0, 120), default=1.0, show_default=True)
@click.option("--deaths", type=click.IntRange(0, 50), default=3, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print the figures as one JSON object.")
def talk(count: int, loss: float, pause: float, minutes: float, deaths: int, as_json: bool) -> int:
    """Membership with real processes: what it costs, whom it wrongs, how soon it knows.

    \b
    nettledeal fleet talk --members 200 --loss 0.2 --pause 5 --minutes 10
    """
    from nettledeal.fleet import membership_trial
    from nettledeal.fleet.child_processes import RunAborted

    try:
        found = membership_trial.measure(
            count,
            loss=loss,
            pause=pause,
            minutes=minutes,
            deaths=deaths,
            progress=lambda what: click.echo(what, err=True),
        )
    except RunAborted as fault:
        click.echo(f"nettledeal: {fault}; all that was started has ended", err=True)
        return 1
    if as_json:
        _say(found)
        return 0
    for name, value in found.items():
        click.echo(f"{name:<28} {value:.4g}" if isinstance(value, float) else f"{name:<28} {value}")
    return 0


@fleet.command()
@click.option("--count", type=click.IntRange(1), default=1000, show_default=True, help="So many schedules,")
@click.option("--first", type=click.IntRange(0), default=0, show_default=True, help="from that seed on.")
def rehearse(count: int, first: int) -> int:
    """Membership in virtual time under seeded schedules of faults; exit status 1 where a promise did not
    hold.

    \b
    nettledeal fleet rehearse --count 20000
    """
    from nettledeal_simulations.membership import many
    from nettledeal_simulations.membership import rehearse as play

    broken = 0
    for seed, found in many(play, range(first, first + count)):
        broken += 1
        click.echo(f"seed {seed}: {'; '.join(found[:3])}")
    click.echo(f"{count} schedules from seed {first} on, {broken} broke a promise")
    return 1 if broken else 0


@fleet.command()
@click.argument("folder", type=click.Path(path_type=Path))
@click.option("--to", type=click.Path(path_type=Path), help="Another folder for the pictures.")
def plot(folder: Path, to: Path | None) -> int:
    """Draw what `fleet run --out FOLDER` has kept: answer times, and work by second with faults marked.

    \b
    nettledeal fleet plot results/calm
    """
    from nettledeal.fleet import plots

    try:
        for place in plots.draw(folder, to or folder):
            click.echo(str(place))
    except ConfigError as fault:
        raise _refused(None, fault) from None
    return 0


def _say(found: dict) -> None:
    import msgspec

    click.echo(msgspec.json.encode(found).decode())


def main() -> int:
    """Entry of the console script; returns the exit status."""
    try:
        return cli.main(prog_name="nettledeal", standalone_mode=False) or 0
    except click.exceptions.Abort:
        click.echo("nettledeal: interrupted", err=True)
        return 1
    except Refusal as fault:
        fault.show()
        return fault.exit_code
    except click.ClickException as fault:
        click.echo(f"nettledeal: {fault.format_message()} (--help tells more)", err=True)
        return 2


if __name__ == "__main__":
    sys.exit(main())
