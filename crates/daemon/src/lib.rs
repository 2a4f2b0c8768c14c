//! Daemon of hawthornpost: kernel, plug-ins, edges.
