#!/usr/bin/env bash
# Runs case 8 after the build of the deploy file and review/build-2.sh. With TROUBLE=0 another tenant stays as the first one leaves.
cd "$(dirname "$0")/../.."
exec target/review-2/case-8 review/8
