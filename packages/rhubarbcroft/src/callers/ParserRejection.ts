/** Why the HTTP server rejected what it received on a connection, and the code of the parser or socket error. */
type RejectionReason = 'caller' | 'header_timeout' | 'malformed';

interface ParserRejection {
  /** `caller` stands for a caller that ended or reset the connection. */
  readonly reason: RejectionReason;
  readonly code: string | undefined;
}

export default ParserRejection;
