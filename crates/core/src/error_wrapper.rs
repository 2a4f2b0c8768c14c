//! Macro that defines an opaque error type around a private enum.

/// Defines the `Error` and the `Result` of a crate around its private enum `Kind`.
///
/// The error displays the message of the kind and returns its source. Every type that converts into `Kind` also
/// converts into `Error`.
///
/// # Examples
///
/// ```
/// mod error {
///     hawthornpost_core::error_wrapper!();
///
///     #[derive(Debug, thiserror::Error)]
///     pub(crate) enum Kind {
///         #[error("the file is empty; write a section into it")]
///         Empty,
///     }
/// }
///
/// let error = error::Error::from(error::Kind::Empty);
/// assert_eq!(error.to_string(), "the file is empty; write a section into it");
/// ```
#[macro_export]
macro_rules! error_wrapper {
    () => {
        /// The result of an operation of this crate.
        pub type Result<T> = ::std::result::Result<T, Error>;

        /// The error of this crate. The message names the problem and how to correct it.
        pub struct Error {
            kind: ::std::boxed::Box<Kind>,
        }

        impl<K: ::std::convert::Into<Kind>> ::std::convert::From<K> for Error {
            fn from(kind: K) -> Self {
                Self {
                    kind: ::std::boxed::Box::new(kind.into()),
                }
            }
        }

        impl ::std::fmt::Display for Error {
            fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                ::std::fmt::Display::fmt(&self.kind, f)
            }
        }

        impl ::std::fmt::Debug for Error {
            fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                ::std::fmt::Debug::fmt(&self.kind, f)
            }
        }

        impl ::std::error::Error for Error {
            fn source(&self) -> ::std::option::Option<&(dyn ::std::error::Error + 'static)> {
                ::std::error::Error::source(&*self.kind)
            }
        }
    };
}
