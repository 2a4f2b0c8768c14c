//! Retry budgets.
