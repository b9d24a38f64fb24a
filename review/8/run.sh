#!/usr/bin/env bash
# Runs case 8 after the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves out the crowd.
cd "$(dirname "$0")/../.."
exec target/review-2/case-8 review/8
