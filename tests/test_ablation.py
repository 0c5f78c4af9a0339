"""Each mechanism of the ablation experiment is found in the sources and switched off by valid Python."""

import ast
import shutil
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
sys.path.insert(0, str(ROOT / "experiments"))

from ablation import PACKAGE, SWITCHES, switch_off  # noqa: E402


@pytest.mark.parametrize("name", SWITCHES)
def test_switching_a_mechanism_off_leaves_valid_sources(tmp_path, name):
    shutil.copytree(ROOT / PACKAGE / "dataplane", tmp_path / PACKAGE / "dataplane")
    switch_off(name, tmp_path)
    for switch in SWITCHES[name]:
        changed = (tmp_path / PACKAGE / switch.file).read_text()
        assert changed != (ROOT / PACKAGE / switch.file).read_text()
        ast.parse(changed)


def test_unexpected_sources_are_rejected(tmp_path):
    shutil.copytree(ROOT / PACKAGE / "dataplane", tmp_path / PACKAGE / "dataplane")
    switch_off("sharpness", tmp_path)
    with pytest.raises(ValueError, match="text not found exactly once"):
        switch_off("sharpness", tmp_path)
