"""``make plants``: shows which planted bugs the machines catch."""

from __future__ import annotations

import sys

from machines import plants

sys.exit(plants.main())
