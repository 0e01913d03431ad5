/** Answers with the path: `/MS` begins an answer at once and ends it after MS ms; `/cut` is never finished. `/throw` fails. */
import { setTimeout as sleep } from 'node:timers/promises';
import HttpExchangeServer from 'rhubarbcroft/callers/HttpExchangeServer';
import type HttpExchange from 'rhubarbcroft/callers/HttpExchange';

export default class DelayServer extends HttpExchangeServer {
  readonly servedUrls: string[] = [];

  override async serve({ request, response, cut, markForwarded }: HttpExchange): Promise<void> {
    const { url = '' } = request;
    this.servedUrls.push(url);
    if (url === '/throw') {
      throw new Error('unexpected');
    }
    for await (const chunk of request.iterator({ destroyOnReturn: false })) void chunk;
    markForwarded();
    response.write(`${url} begins,`);
    await sleep(Number(url.slice(1)) || 0);
    if (url === '/cut') {
      cut('its stream broke');
    } else {
      response.end('ends');
    }
  }
}
