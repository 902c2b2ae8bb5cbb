//! Handles the bytes of an open watch: decodes its objects and delivers the endpoint lists.
//!
//! # Invariant
//! Lists and heartbeats take effect in the order of their arrival, and the cursor moves past a list
//! only when that is applied: a receiver that is dropped at any time loses no list that the next
//! poll does not request again.

use arrowstand_balancer::UpdateKind;
use arrowstand_platform::{EndpointList, EndpointListParser, ListKind};
use awc::error::PayloadError;
use bytes::Bytes;

use super::delta_batch::DeltaBatch;
use super::endpoint_sink::EndpointSink;
use super::list_timing::ListTiming;
use super::object_decoder::ObjectDecoder;
use super::watch_cursor::WatchCursor;
use super::watch_error::WatchError;
use crate::limits::DiscoveryLimits;
use crate::steps::{WorkBudget, run_in_steps};

/// Work for an object besides that for its bytes, as bytes of a [`WorkBudget`]. Without it, a chunk
/// of heartbeats would be handled in one step.
const OBJECT_COST_BYTES: usize = 128;
/// While an object larger than this is read, no deltas wait: reading it takes several steps.
const MAX_MERGED_OBJECT_BYTES: usize = 4 * 1024;

/// The receiving side of one watch.
pub(super) struct WatchReceiver<'a> {
    sink: &'a EndpointSink,
    cursor: &'a WatchCursor,
    max_json_depth: usize,
    decoder: ObjectDecoder,
    /// Deltas that have been read and not applied yet.
    pending_deltas: DeltaBatch,
    timing: ListTiming,
    budget: WorkBudget,
}

impl<'a> WatchReceiver<'a> {
    pub(super) fn new(
        sink: &'a EndpointSink,
        cursor: &'a WatchCursor,
        limits: &DiscoveryLimits,
    ) -> Self {
        Self {
            sink,
            cursor,
            max_json_depth: limits.object.max_depth,
            decoder: ObjectDecoder::new(limits.object),
            pending_deltas: DeltaBatch::default(),
            timing: ListTiming::default(),
            budget: WorkBudget::default(),
        }
    }

    /// Handles chunks that have arrived together. Other tasks run in between; afterwards, each list
    /// that has arrived completely is applied.
    ///
    /// # Errors
    /// The watch has failed or delivers something other than endpoint lists.
    pub(super) async fn receive(
        &mut self,
        chunks: Vec<Result<Bytes, PayloadError>>,
    ) -> Result<(), WatchError> {
        let received = self.receive_objects(chunks).await;
        self.apply_pending_deltas();
        received
    }

    async fn receive_objects(
        &mut self,
        chunks: Vec<Result<Bytes, PayloadError>>,
    ) -> Result<(), WatchError> {
        for chunk in chunks {
            let chunk = chunk.map_err(WatchError::WatchFailed)?;
            self.decoder.push(&chunk)?;
            while let Some(object) = self.timing.time_framing(|| self.decoder.next_object())? {
                self.on_object(&object).await?;
                self.budget.charge(OBJECT_COST_BYTES);
                self.budget.yield_if_spent().await;
            }
            self.budget.charge(chunk.len());
            self.budget.yield_if_spent().await;
        }
        Ok(())
    }

    /// Delivers the list in one object, or a heartbeat, which is an empty line.
    async fn on_object(&mut self, object: &[u8]) -> Result<(), WatchError> {
        let text = String::from_utf8_lossy(object);
        if text.trim().is_empty() {
            self.apply_pending_deltas();
            self.sink.list_freshness().on_watch_event();
            return Ok(());
        }
        if object.len() > MAX_MERGED_OBJECT_BYTES {
            self.apply_pending_deltas();
        }
        let mut parser = EndpointListParser::new(&text, self.max_json_depth);
        match run_in_steps(|| self.timing.time_parsing(|| parser.step())).await {
            Ok(list) => {
                self.on_list(list, object.len());
                Ok(())
            }
            Err(error) => {
                self.apply_pending_deltas();
                self.sink.on_invalid_object();
                self.cursor.on_invalid_object();
                Err(WatchError::InvalidObject(error))
            }
        }
    }

    /// Merges a delta into the pending ones, or applies the list after them.
    fn on_list(&mut self, list: EndpointList, bytes: usize) {
        let Err(list) = self.pending_deltas.try_add(list) else {
            return;
        };
        self.apply_pending_deltas();
        if let Err(full_list) = self.pending_deltas.try_add(list) {
            self.apply(&full_list);
            let examined_bytes = self.decoder.take_examined_bytes();
            self.timing.log(&full_list, bytes, examined_bytes);
        }
    }

    /// Applies the pending deltas as one update.
    fn apply_pending_deltas(&mut self) {
        let delta_count = self.pending_deltas.delta_count();
        if let Some(delta) = self.pending_deltas.take() {
            self.sink.on_deltas_merged(delta_count - 1);
            self.apply(&delta);
            self.decoder.take_examined_bytes();
            self.timing = ListTiming::default();
        }
    }

    /// Applies a list in one step, so that the balancer never sees a part of it.
    fn apply(&mut self, list: &EndpointList) {
        let version = self.cursor.on_list_received(list);
        let kind = match list.kind {
            ListKind::Full => UpdateKind::Full,
            ListKind::Delta => UpdateKind::Incremental,
        };
        let sink = self.sink;
        self.timing
            .time_applying(|| sink.on_list_received(kind, version, list));
        // An update costs work for all servers, however few of them it lists.
        self.budget.charge_all();
    }
}
