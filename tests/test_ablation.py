"""Each mechanism that trials can switch off is where the experiment says, and changes the sources."""

import ast
import shutil
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
sys.path.insert(0, str(ROOT / "experiments"))

from ablation import PACKAGE, SWITCHES, switch_off  # noqa: E402


@pytest.mark.parametrize("name", SWITCHES)
def test_a_mechanism_is_switched_off_by_other_sources_that_can_be_read(tmp_path, name):
    shutil.copytree(ROOT / PACKAGE / "dataplane", tmp_path / PACKAGE / "dataplane")
    switch_off(name, tmp_path)
    for switch in SWITCHES[name]:
        changed = (tmp_path / PACKAGE / switch.file).read_text()
        assert changed != (ROOT / PACKAGE / switch.file).read_text()
        ast.parse(changed)


def test_sources_that_are_others_than_expected_are_left(tmp_path):
    shutil.copytree(ROOT / PACKAGE / "dataplane", tmp_path / PACKAGE / "dataplane")
    switch_off("sharpness", tmp_path)
    with pytest.raises(ValueError, match="not once there"):
        switch_off("sharpness", tmp_path)
