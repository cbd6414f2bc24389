# bash completion for tarragonctl.

_tarragonctl() {
  local current="${COMP_WORDS[COMP_CWORD]}"
  local previous="${COMP_WORDS[COMP_CWORD-1]}"
  local common="--json --timeout --help --version"
  local operators="--entry --token --token-file"
  local clients="--client"
  local commands="note state explain entries submit answer cancel"
  local value_options=" --timeout --entry --token --token-file --client --retries --service --tenant --task --tasks-file --cores --memory-mb --deadline --key "

  case "$previous" in
    --token-file|--tasks-file)
      COMPREPLY=($(compgen -f -- "$current"))
      return
      ;;
  esac
  if [[ "$value_options" == *" $previous "* ]]; then
    COMPREPLY=()
    return
  fi

  # The words that are neither options nor their values.
  local words=() i
  for ((i = 1; i < COMP_CWORD; ++i)); do
    if [[ "${COMP_WORDS[i]}" != -* &&
          "$value_options" != *" ${COMP_WORDS[i-1]} "* ]]; then
      words+=("${COMP_WORDS[i]}")
    fi
  done

  local options="$common"
  case "${words[0]} ${words[1]}" in
    "note apply") options+=" $operators --retries" ;;
    "explain "*) options+=" $operators --logs" ;;
    "entries remove") options+=" $operators --confirm-dead" ;;
    "note "*|"state "*|"entries "*) options+=" $operators" ;;
    "submit "*) options+=" $clients --service --tenant --task --tasks-file
      --cores --memory-mb --deadline --key" ;;
    "answer "*|"cancel "*) options+=" $clients" ;;
    *) options+=" $operators $clients" ;;
  esac
  if [[ "$current" == -* ]]; then
    COMPREPLY=($(compgen -W "$options" -- "$current"))
    return
  fi

  case "${#words[@]} ${words[0]} ${words[1]}" in
    "0 "*) COMPREPLY=($(compgen -W "$commands" -- "$current")) ;;
    "1 note "*) COMPREPLY=($(compgen -W "apply show" -- "$current")) ;;
    "1 entries "*) COMPREPLY=($(compgen -W "remove" -- "$current")) ;;
    "2 note apply") COMPREPLY=($(compgen -f -- "$current")) ;;
    *) COMPREPLY=() ;;
  esac
}

complete -F _tarragonctl tarragonctl
