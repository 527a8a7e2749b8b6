//! Placeholder page; the module docs arrive with the code.
