/** `rhubarbctl completion`: prints a completion script for bash. */
import { defineCommand } from 'citty';

const COMMANDS =
  'apply diff get describe label drain rollout state top audit token check completion';
const LISTS = 'endpoints models services rules kinds accounts changes';

const completionCommand = defineCommand({
  meta: {
    name: 'completion',
    description: 'print a bash completion script: source <(rhubarbctl completion)',
  },
  run() {
    process.stdout.write(`_rhubarbctl() {
  local word="\${COMP_WORDS[COMP_CWORD]}"
  case "$COMP_CWORD:\${COMP_WORDS[1]}" in
    1:*) COMPREPLY=($(compgen -W "${COMMANDS}" -- "$word")) ;;
    2:get) COMPREPLY=($(compgen -W "${LISTS}" -- "$word")) ;;
    *) COMPREPLY=($(compgen -f -- "$word")) ;;
  esac
}
complete -F _rhubarbctl rhubarbctl
`);
  },
});

export default completionCommand;
