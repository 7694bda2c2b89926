"""The planted bugs of the soak fit the sources."""

from __future__ import annotations

import pathlib

import pytest

from soak import plants


@pytest.mark.parametrize("plant", plants.PLANTS, ids=lambda one: one.promise)
def test_plant_fits_the_sources(plant: plants.Plant, tmp_path: pathlib.Path) -> None:
    # Guards against a soak that cannot be shown to fail, since the code has moved on.
    assert plants.copy_sources(plant, tmp_path / "sources").exists()
