// Messages that entries exchange over their peer links.

struct Member {
  1: string id
  2: i64 incarnation
  3: string address
  4: string failure_domain
}

struct BackendNews {
  1: string server_id
  2: bool leaving
  3: i64 age_ms
}

struct Heartbeat {
  1: i16 version
  2: Member sender
  3: i64 revision
  4: binary digest
  5: list<BackendNews> news
  6: i16 oldest_version
  7: optional list<Member> members
}

struct FetchDocument {
  1: i64 newer_than
}

struct DocumentReply {
  1: i64 revision
  2: binary text
  3: bool compressed
}

struct Inquire {
  1: string key
  2: i64 attempt
  3: binary fingerprint
  4: Member asker
}

struct HeaderField {
  1: string name
  2: string value
}

struct KeptAnswer {
  1: i16 status
  2: list<HeaderField> headers
  3: binary body
}

struct InquireReply {
  1: i16 phase
  2: optional KeptAnswer answer
  3: bool mismatch
  4: i64 incarnation
}

struct Failed {
  1: string reason
}

union Body {
  1: Heartbeat heartbeat
  2: FetchDocument fetch_document
  3: DocumentReply document_reply
  4: Inquire inquire
  5: InquireReply inquire_reply
  6: Failed failed
}

struct Envelope {
  1: i64 correlation
  2: Body body
}
