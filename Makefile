# One .venv for everything, made anew when the requirements change.
PY := .venv/bin/python
STAMP := .venv/requirements.stamp

.PHONY: day test bench scenes

day: $(STAMP)
	$(PY) -m gradehoist day scenes/bad-day.kdl

test: $(STAMP)
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .
	$(PY) -m mypy
	$(PY) -m pytest -q -p no:cacheprovider

bench: $(STAMP)
	$(PY) -m bench

$(STAMP): requirements.txt requirements-dev.txt
	test -x $(PY) || python3 -m venv .venv
	$(PY) -m pip -q install -r requirements-dev.txt
	touch $(STAMP)

# Every recorded kind of trouble through the real governor, three days at a time; about three minutes.
scenes: $(STAMP)
	ls scenes/troubles/*.kdl | xargs -P 3 -I{} sh -c '$(PY) -m gradehoist day {} --quiet > /dev/null \
	    && echo "kept   {}" || { echo "BROKEN {}"; exit 1; }'
