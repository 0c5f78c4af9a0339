"""The deploy file: the repository's own is sound, and each fault is named by its key."""

from pathlib import Path

import pytest

from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.programs.deploy_file import read_deploy_file

ROOT = Path(__file__).resolve().parents[2]
SOUND = """
build = "sh build"
[roles.front]
run = "python3 program.py front"
on = "edge"
share = 1.0
serves = ["edge"]
[roles.back]
run = "python3 program.py back"
on = "core"
count = 1
serves = ["control_plane", "registry"]
"""


def test_the_repository_s_own_file():
    deployment = read_deploy_file(ROOT / "deploy" / "system.toml")
    assert set(deployment.roles) == {"data-plane", "control-plane", "edge-control"}
    assert "python3" in deployment.packages


def test_a_sound_file(tmp_path):
    path = tmp_path / "system.toml"
    path.write_text(SOUND)
    assert read_deploy_file(path).roles["back"].count == 1


@pytest.mark.parametrize(
    ("before", "after", "named"),
    [
        ('build = "sh build"', "", "build"),
        ('build = "sh build"', 'build = "sh build"\npackages = ["python3"]', None),
        ('build = "sh build"', 'build = "sh build"\npackages = ["Python 3"]', r"packages\[0\]"),
        ('build = "sh build"', 'build = "sh build"\npackages = "python3"', "packages"),
        ('build = "sh build"', 'build = " "', "build"),
        ('on = "edge"', 'on = "moon"', r"roles\[...\].on"),
        ("share = 1.0", "share = 1.5", "roles.front.share"),
        ("share = 1.0", "share = 0.5", "roles.front.share"),
        ("share = 1.0", "", "roles.front.share"),
        ("count = 1", "count = 0", "roles.back.count"),
        ("count = 1", "count = 1\nshare = 1.0", "roles.back.share"),
        ("count = 1", 'count = "one"', r"roles\[...\].count"),
        ('run = "python3 program.py back"', 'run = ""', "roles.back.run"),
        ('run = "python3 program.py back"', 'run = "env python3"', "roles.back.run"),
        (', "registry"', "", "registry"),
        ('on = "core"', 'on = "edge"\napart = true', None),
        ('serves = ["edge"]', 'serves = ["edge", "else"]', "serves"),
        ("[roles.front]", "[roles.front", "line"),
    ],
)
def test_a_fault_is_named(tmp_path, before, after, named):
    path = tmp_path / "system.toml"
    path.write_text(SOUND.replace(before, after, 1))
    if named is None:
        read_deploy_file(path)
        return
    with pytest.raises(ServingError, match=named) as raised:
        read_deploy_file(path)
    assert raised.value.code is ErrorCode.INVALID_SETTINGS
    assert str(path) in str(raised.value)


def test_two_roles_of_a_class_serve_different_callers(tmp_path):
    path = tmp_path / "system.toml"
    path.write_text(SOUND.replace('on = "core"', 'on = "edge"').replace('["control_plane"', '["edge"'))
    with pytest.raises(ServingError, match=r"roles\.back\.s"):
        read_deploy_file(path)
