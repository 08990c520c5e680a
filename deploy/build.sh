#!/bin/sh
# Installs the dependencies and a byte-compiled copy of the package under
# target/. The tree is read-only at run time, so Python cannot cache byte
# code there, and a start that compiles the modules takes twice as long.
set -e
requirements=deploy/requirements.txt
# Compiled dependencies fit one architecture and one version of Python. A target
# folder may have been carried over from an instance with others.
interpreter=$(python3 -c \
  'import sysconfig, sys; print(sysconfig.get_platform(), sys.implementation.cache_tag)')
mark=target/deps/.built-for
if ! [ target/deps -nt "$requirements" ] \
    || [ "$(cat "$mark" 2>/dev/null)" != "$interpreter" ]; then
  rm -rf target/deps
  python3 -m pip install -q -U --target target/deps -r "$requirements"
  echo "$interpreter" > "$mark"
fi
rm -rf target/app
mkdir -p target/app
cp -R src/fuchsiabarrow target/app/
find target/app -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q target/app
