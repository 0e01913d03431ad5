/** Writes an answer in the OpenAI format, as a stream or as one JSON body. */
import type { ServerResponse } from 'node:http';
import type Failure from '@rhubarbcroft/protocol/results/Failure';
import AnswerSink from '../dispatch/AnswerSink.js';

abstract class CompletionSink extends AnswerSink {
  protected readonly response: ServerResponse;

  constructor(response: ServerResponse) {
    super();
    this.response = response;
  }

  override begin(endpointId: string): void {
    if (!this.response.headersSent) {
      this.response.setHeader('rhubarb-endpoint', endpointId);
    }
  }

  /** Ends a complete answer with its usage, in tokens. */
  abstract finish(tokens: number, promptTokens: number): void;

  /** Ends the answer with an explicit error. */
  abstract fail(failure: Failure): void;
}

export default CompletionSink;
