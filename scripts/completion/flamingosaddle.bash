# Completion of the flamingosaddle command for bash: source this file.

_flamingosaddle()
{
    local word=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD - 1]}
    local options="--platform --admin --output --timeout --dry-run --change-id --expect-revision --no-wait --key-id --help"
    local groups="template account key route backend apply show status history leases usage backends"
    local candidates=$groups
    case $previous in
    template) candidates="publish" ;;
    account) candidates="create set remove" ;;
    key) candidates="give withdraw" ;;
    route) candidates="add remove" ;;
    backend) candidates="add drain remove" ;;
    show) candidates="templates accounts routes backends keys" ;;
    publish | create | set | add | apply) candidates=$(compgen -f -- "$word") ;;
    --output) candidates="json table" ;;
    esac
    if [[ $word == -* ]]; then
        candidates=$options
    fi
    mapfile -t COMPREPLY < <(compgen -W "$candidates" -- "$word")
}

complete -F _flamingosaddle flamingosaddle
