#!/usr/bin/env bash
# Installs all packages required to build, test and check the project.
set -euo pipefail
sudo=
[ "$(id -u)" = 0 ] || sudo=sudo
export DEBIAN_FRONTEND=noninteractive
$sudo apt-get update -qq
$sudo apt-get install -y -qq --no-install-recommends \
  g++ cmake ninja-build pkg-config curl \
  libabsl-dev libcapnp-dev libboost-dev libyaml-cpp-dev libmicrohttpd-dev \
  libcurl4-openssl-dev libcxxopts-dev liblog4cxx-dev libexpected-dev \
  libcpputest-dev nlohmann-json3-dev libxxhash-dev libsodium-dev libhttp-parser-dev \
  zlib1g-dev \
  clang-format clang-tidy >/dev/null
