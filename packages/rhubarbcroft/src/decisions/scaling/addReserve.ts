/** Computes how many replicas, spread evenly over failure domains, are enough if the domain with the most is lost. */
export default function addReserve(kept: number, domains: number): number {
  let total = kept;
  while (total - Math.ceil(total / domains) < kept) {
    total += 1;
  }
  return total;
}
