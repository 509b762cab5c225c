//! Every decision as a plain function over borrowed views.
