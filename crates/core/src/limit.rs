//! Room per target in tokens, account shares and early refusal.
