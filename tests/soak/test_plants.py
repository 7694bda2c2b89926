"""Checks that the planted bugs of the soak can be planted in the sources."""

from __future__ import annotations

import pathlib

import pytest

from soak import plants


@pytest.mark.parametrize("plant", plants.PLANTS, ids=lambda item: item.promise)
def test_plant_fits_the_sources(plant: plants.Plant, tmp_path: pathlib.Path) -> None:
    # Guards against plants whose text to replace has changed in the sources.
    assert plants.copy_sources(plant, tmp_path / "sources").exists()
