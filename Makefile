# One .venv for everything, made anew when the requirements change.
PY := .venv/bin/python
STAMP := .venv/requirements.stamp

.PHONY: day test bench check

day: $(STAMP)
	$(PY) -m gradehoist day scenes/bad-day.kdl

test: $(STAMP)
	$(PY) -m ruff check .
	$(PY) -m mypy
	$(PY) -m pytest -q -p no:cacheprovider

bench: $(STAMP)
	$(PY) -m bench

$(STAMP): requirements.txt requirements-dev.txt
	test -x $(PY) || python3 -m venv .venv
	$(PY) -m pip -q install -r requirements-dev.txt
	touch $(STAMP)
