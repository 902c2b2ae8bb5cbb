//! JSON by tinyjson, with errors that name the key.

use std::collections::HashMap;

use tinyjson::JsonValue;

/// A value and the path at which it was found.
#[derive(Clone)]
pub struct Node<'a> {
    path: String,
    value: Option<&'a JsonValue>,
}

/// How deep brackets and braces are open after each byte.
fn depths(text: &[u8]) -> impl Iterator<Item = usize> {
    let (mut depth, mut quoted, mut escaped) = (0usize, false, false);
    text.iter().map(move |byte| {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if quoted => escaped = true,
            b'"' => quoted = !quoted,
            b'[' | b'{' if !quoted => depth += 1,
            b']' | b'}' if !quoted => depth = depth.saturating_sub(1),
            _ => {}
        }
        depth
    })
}

/// How deep brackets and braces are open at the end.
pub fn depth(text: &[u8]) -> usize {
    depths(text).last().unwrap_or_default()
}

/// Guards against input that is nested so deep that tinyjson, which recurses, would end the process.
pub fn parse(text: &str, depth_most: usize) -> Result<JsonValue, String> {
    if depths(text.as_bytes()).any(|depth| depth > depth_most) {
        return Err(format!("nested deeper than {depth_most}"));
    }
    text.parse::<JsonValue>().map_err(|e| e.to_string())
}

impl<'a> Node<'a> {
    pub fn root(value: &'a JsonValue) -> Self {
        Self {
            path: String::new(),
            value: Some(value),
        }
    }

    /// The member of that name, present or not.
    pub fn at(&self, key: &str) -> Self {
        let object = self
            .value
            .and_then(|v| v.get::<HashMap<String, JsonValue>>());
        let value = object.and_then(|o| o.get(key)).filter(|v| !v.is_null());
        let dot = if self.path.is_empty() { "" } else { "." };
        Self {
            path: format!("{}{dot}{key}", self.path),
            value,
        }
    }

    pub fn present(&self) -> bool {
        self.value.is_some()
    }

    pub fn fault<T>(&self, what: &str) -> Result<T, String> {
        Err(format!("{}: {what}", self.path))
    }

    fn opt<T: Clone>(&self, got: Option<&T>, what: &str) -> Result<Option<T>, String> {
        match (self.value, got) {
            (None, _) => Ok(None),
            (Some(_), Some(value)) => Ok(Some(value.clone())),
            (Some(_), None) => self.fault(what),
        }
    }

    fn need<T>(&self, got: Option<T>) -> Result<T, String> {
        got.map_or_else(|| self.fault("is missing"), Ok)
    }

    /// A number that is finite and not negative.
    pub fn number_opt(&self) -> Result<Option<f64>, String> {
        match self.opt(self.value.and_then(|v| v.get::<f64>()), "must be a number")? {
            Some(n) if !n.is_finite() || n < 0.0 => self.fault("must not be negative"),
            n => Ok(n),
        }
    }

    pub fn number(&self) -> Result<f64, String> {
        self.need(self.number_opt()?)
    }

    pub fn text_opt(&self) -> Result<Option<String>, String> {
        self.opt(self.value.and_then(|v| v.get::<String>()), "must be a text")
    }

    pub fn text(&self) -> Result<String, String> {
        self.need(self.text_opt()?)
    }

    pub fn flag_opt(&self) -> Result<Option<bool>, String> {
        self.opt(
            self.value.and_then(|v| v.get::<bool>()),
            "must be true or false",
        )
    }

    pub fn items(&self) -> Result<Vec<Node<'a>>, String> {
        let Some(value) = self.value else {
            return Ok(Vec::new());
        };
        let Some(list) = value.get::<Vec<JsonValue>>() else {
            return self.fault("must be an array");
        };
        let item = |(i, v)| Node {
            path: format!("{}[{i}]", self.path),
            value: Some(v),
        };
        Ok(list.iter().enumerate().map(item).collect())
    }
}
