//! Joins several problems into one text.

pub(super) fn joined<T: ToString>(problems: &[T]) -> String {
    let texts: Vec<String> = problems.iter().map(T::to_string).collect();
    texts.join("; ")
}
