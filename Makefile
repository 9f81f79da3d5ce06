# All targets use one virtual environment, which is updated when the requirements change.
PY := .venv/bin/python
STAMP := .venv/requirements.stamp

.PHONY: scenario day test bench scenarios scenes

# `day` is an earlier name of this target.
scenario day: $(STAMP)
	$(PY) -m gradehoist scenario scenarios/bad-day.kdl

test: $(STAMP)
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .
	$(PY) -m mypy
	$(PY) -m pytest -q -p no:cacheprovider -n auto --maxprocesses=6

bench: $(STAMP)
	$(PY) -m bench

$(STAMP): requirements.txt requirements-dev.txt
	test -x $(PY) || python3 -m venv .venv
	$(PY) -m pip -q install -r requirements-dev.txt
	touch $(STAMP)

# Runs every recorded kind of fault against the real governor, three scenarios at a time. This takes about three
# minutes. `scenes` is an earlier name of this target.
scenarios scenes: $(STAMP)
	ls scenarios/faults/*.kdl | xargs -P 3 -I{} sh -c '$(PY) -m gradehoist scenario {} --quiet > /dev/null \
	    && echo "kept   {}" || { echo "BROKEN {}"; exit 1; }'
