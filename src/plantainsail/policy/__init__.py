"""Policies for admission, placement, fair shares and retries."""
