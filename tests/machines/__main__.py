"""Entry point of ``make plants``: prints which planted bugs the machines detect."""

from __future__ import annotations

import sys

from machines import plants

sys.exit(plants.main())
