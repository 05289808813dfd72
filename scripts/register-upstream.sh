# Sourced by the scripts that run a deployment.

# register_upstream PLATFORM NAME FAILURE_DOMAIN PORT LABEL: writes the registration row of an upstream to the stand-in
# of the platform's store. A real upstream writes this row itself.
register_upstream() {
    curl -sSf -o /dev/null -X PUT \
        --data "{\"service\":\"$5\",\"zone\":\"$3\",\"address\":\"127.0.0.1:$4\",\"slots\":8,\"state\":\"ready\"}" \
        "http://$1/control/rows/servers/$2"
}
